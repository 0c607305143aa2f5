//! Writes the generated code into `crates/peers/src/generated`: `cargo run -p basilbridge-codegen`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    basilbridge_codegen::generate(&root, &root.join("crates/peers/src/generated"))
}
