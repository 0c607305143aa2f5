//! Values that are larger than a row come back as they were.

use basilbridge_cell::packing::{
    pack,
    unpack, //
};
use basilbridge_common::error::Kind;

#[test]
fn a_job_of_thousands_of_steps_fits_into_a_row() {
    let steps: Vec<String> = (0..20_000)
        .map(|step| format!("{{\"count\":1,\"after\":[{step}]}}"))
        .collect();
    let text = format!("[{}]", steps.join(","));

    let packed = pack(text.clone(), 300 * 1024).unwrap();

    assert!(packed.len() < text.len() / 3);
    assert_eq!(unpack(&packed).unwrap(), text);
}

#[test]
fn a_value_that_fits_stays_readable_for_earlier_versions() {
    let text = String::from("{\"queue\":\"checks\"}");

    assert_eq!(pack(text.clone(), 1024).unwrap(), text);
}

#[test]
fn a_value_that_does_not_fit_is_refused() {
    let digits: String = (0..40_000_u64)
        .map(|number| format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();

    let error = pack(digits, 48 * 1024).unwrap_err();

    assert_eq!(error.kind, Kind::TooLarge);
}
