//! Generates the committed tonic code from the protocol files.

use std::path::Path;

/// Writes the code for `crates/peers/proto/peer.proto` of the workspace at `root` into `out`.
///
/// # Errors
///
/// Returns an error if the protocol files do not compile or the code can't be written.
pub fn generate(root: &Path, out: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let include = root.join("crates/peers/proto");
    let files = protox::compile(["peer.proto"], [&include])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
