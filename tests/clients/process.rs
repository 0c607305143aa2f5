//! The memory and the descriptors that a process uses.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

/// The time between two measurements.
const INTERVAL: Duration = Duration::from_millis(10);

/// What a process used, or the most of several measurements.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Resident memory, with what its sockets have received and not read, in bytes.
    pub(crate) memory: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

impl Usage {
    fn max(self, other: Self) -> Self {
        Self {
            memory: self.memory.max(other.memory),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Measures a process until it is asked for the most.
pub(crate) struct Meter {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl Meter {
    /// Starts to measure the process `pid`, which listens on `address`.
    pub(crate) fn start(pid: u32, address: SocketAddr) -> Self {
        let is_stopped = Arc::<AtomicBool>::default();
        let stopped = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            let mut most = Usage::default();
            while !stopped.load(Ordering::Relaxed) {
                most = most.max(measure(pid, address));
                thread::sleep(INTERVAL);
            }
            most
        });
        Self { is_stopped, thread }
    }

    /// Returns the most that the process used.
    pub(crate) fn stop(self) -> Usage {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the measurements don't fail")
    }
}

/// Returns what a process uses; nothing if it has ended.
fn measure(pid: u32, address: SocketAddr) -> Usage {
    let entries = fs::read_dir(format!("/proc/{pid}/fd"));
    Usage {
        memory: resident(pid) + unread(address),
        descriptors: entries.map_or(0, Iterator::count),
    }
}

fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    1024 * kilobytes.map_or(0, |text| text.parse().unwrap_or(0))
}

/// Returns the bytes that the connections of a listener have received and its process has not read.
fn unread(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        // LISTEN, whose queue counts connections.
        let is_open = fields.nth(1)? != "0A";
        let (_, unread) = fields.next()?.split_once(':')?;
        (is_local && is_open).then(|| u64::from_str_radix(unread, 16).unwrap_or(0))
    });
    queues.sum()
}
