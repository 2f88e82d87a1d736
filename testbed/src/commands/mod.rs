//! The commands of the command line, one module each.

pub mod demo;
pub mod measure;
pub mod replay;
pub mod scale;
pub mod simulate;
pub mod soak;
pub mod starts;

/// Parses the arguments of a command. `None` if its help was requested, which was then printed, with `more`
/// after the options.
///
/// # Errors
/// If an argument is not one of the options.
pub fn parse_options(
    mut options: getopts::Options,
    arguments: &[String],
    usage: &str,
    more: &str,
) -> miette::Result<Option<getopts::Matches>> {
    options.optflag("h", "help", "show this and end");
    let matches = options.parse(arguments).map_err(|error| miette::miette!("{error}"))?;
    if !matches.opt_present("help") {
        return Ok(Some(matches));
    }
    println!("{}", options.usage(&format!("Usage: {usage}")));
    if !more.is_empty() {
        println!("{more}");
    }
    Ok(None)
}

/// The first and the last seed of a range such as `1-20`.
///
/// # Errors
/// If the text is not a range.
pub fn parse_seed_range(given: Option<String>, default: &str) -> miette::Result<(u64, u64)> {
    let text = given.unwrap_or(default.to_string());
    let range = text.split_once('-').and_then(|(first, last)| {
        let (first, last): (u64, u64) = (first.parse().ok()?, last.parse().ok()?);
        (first <= last).then_some((first, last))
    });
    range.ok_or_else(|| miette::miette!("--seeds: two numbers, the smaller first, as in {default}"))
}
