//! What was sent, answered and run.

use std::{
    fs::File,
    io::{
        self,
        BufWriter,
        Write, //
    },
    path::Path,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Instant,
};

/// The file `record.txt` of a case.
#[derive(Debug)]
pub(crate) struct Record {
    file: Mutex<BufWriter<File>>,
    begun: Instant,
}

impl Record {
    pub(crate) fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    /// Writes a line with the seconds since the begin.
    pub(crate) fn line(&self, what: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A line that is missing changes no result.
        let _ = writeln!(file, "{:8.3} {what}", self.begun.elapsed().as_secs_f64());
    }

    /// Writes a line, also to standard output.
    pub(crate) fn say(&self, what: &str) {
        println!("{:8.3} {what}", self.begun.elapsed().as_secs_f64());
        self.line(what);
    }

    pub(crate) fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
