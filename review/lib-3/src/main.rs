//! The cases of the third review: `review-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule of the case was broken, with 0 if it held, and
//! with 2 if the case could not run. With `TROUBLE=0` in the environment a
//! case does the same without its disruption.

mod drained;
mod http;
mod leave;
mod record;
mod reread;
mod site;
mod store;
mod worker;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-3 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = PathBuf::from(folder).join("record.txt");
    let broken = match case.as_str() {
        "reread" => reread::play(trouble, &record),
        "drained" => drained::play(trouble, &record),
        "leave" => leave::play(trouble, &record),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(broken));
}
