//! Tests that the committed code is up to date.

use std::{
    fs,
    path::Path, //
};

#[test]
fn the_committed_code_equals_the_generated_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));

    basilbridge_codegen::generate(&root, out).unwrap();

    let name = "basilbridge.peer.v1.rs";
    let generated = fs::read_to_string(out.join(name)).unwrap();
    let committed = fs::read_to_string(root.join("crates/peers/src/generated").join(name)).unwrap();
    assert_eq!(
        generated, committed,
        "run `cargo run -p basilbridge-codegen`"
    );
}
