//! The commands of the command line, one module for each.

pub mod demo;
pub mod measure;
pub mod measure_tenants;
pub mod replay;
pub mod simulate;
pub mod soak;
pub mod starts;

/// Parses the arguments of a command. If they request help, prints it, with `additional_help` after the
/// options, and returns `None`.
///
/// # Errors
/// If an argument is not a valid option.
pub fn parse_options(
    mut options: getopts::Options,
    arguments: &[String],
    usage: &str,
    additional_help: &str,
) -> miette::Result<Option<getopts::Matches>> {
    options.optflag("h", "help", "show this and end");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if !matches.opt_present("help") {
        return Ok(Some(matches));
    }
    println!("{}", options.usage(&format!("Usage: {usage}")));
    if !additional_help.is_empty() {
        println!("{additional_help}");
    }
    Ok(None)
}

/// Parses a range of seeds such as `1-20` and returns the first and the last seed.
///
/// # Errors
/// If the text is not a valid range.
pub fn parse_seed_range(given: Option<String>, default: &str) -> miette::Result<(u64, u64)> {
    let text = given.unwrap_or(default.to_string());
    let range = text.split_once('-').and_then(|(first, last)| {
        let (first, last): (u64, u64) = (first.parse().ok()?, last.parse().ok()?);
        (first <= last).then_some((first, last))
    });
    range.ok_or_else(|| miette::miette!("--seeds: two numbers, the smaller first, as in {default}"))
}
