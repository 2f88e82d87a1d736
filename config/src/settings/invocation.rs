//! The command line of a program: the requested action, and the settings that result from the arguments and
//! the settings file.

use super::checks::check_settings;
use super::keys::{Source, keys_of};
use super::{Role, Settings};
use crate::ValidationError;
use crate::json_reader::JsonReader;
use jzon::JsonValue;
use jzon::object::Object;
use std::fmt;
use std::path::PathBuf;

/// The action that the arguments request.
pub enum Invocation {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print this text and exit with success.
    Print(String),
}

/// Why a program cannot start; its `Display` text is the message for the operator.
#[derive(Debug)]
pub enum StartError {
    /// The arguments do not follow the program's usage.
    Usage(getopts::Fail),
    /// An argument that is not a flag.
    UnexpectedArgument(String),
    /// The settings file cannot be read.
    UnreadableSettings {
        /// The file name as it was given.
        file: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The configuration to check cannot be read.
    UnreadableConfig {
        /// The file name as it was given.
        file: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The settings are invalid.
    InvalidSettings(Vec<ValidationError>),
    /// The configuration to check is invalid.
    InvalidConfig {
        /// The file name as it was given.
        file: String,
        /// Its validation errors.
        errors: Vec<ValidationError>,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Usage(error) => write!(out, "{error}; see --help"),
            StartError::UnexpectedArgument(argument) => {
                write!(out, "unexpected argument '{argument}'; see --help")
            }
            StartError::UnreadableSettings { file, error } => {
                write!(out, "settings: cannot read {file}: {error}")
            }
            StartError::UnreadableConfig { file, error } => {
                write!(out, "cannot read {file}: {error}")
            }
            StartError::InvalidSettings(errors) => {
                out.write_str("the settings cannot be used\n")?;
                write_list(out, errors)
            }
            StartError::InvalidConfig { file, errors } => {
                writeln!(out, "{file} would be refused")?;
                write_list(out, errors)
            }
        }
    }
}

/// Writes one validation error per line.
fn write_list(out: &mut fmt::Formatter<'_>, errors: &[ValidationError]) -> fmt::Result {
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    out.write_str(&lines.join("\n"))
}

// The messages contain their causes, so that `source` does not return them again.
impl std::error::Error for StartError {}

impl miette::Diagnostic for StartError {}

/// Parses the arguments and reads the settings file.
///
/// # Errors
/// Why the program cannot start.
pub fn parse_arguments(role: Role, arguments: &[String]) -> Result<Invocation, StartError> {
    let options = options_of(role);
    let matches = options.parse(arguments).map_err(StartError::Usage)?;
    if matches.opt_present("help") {
        let brief = format!("Usage: vanepath-{role} [options]\nvanepath's {role} daemon.");
        return Ok(Invocation::Print(options.usage(&brief)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!("vanepath-{role} {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(argument) = matches.free.first() {
        return Err(StartError::UnexpectedArgument(argument.clone()));
    }
    if role == Role::Registry
        && let Some(file) = matches.opt_str("check-setup")
    {
        return check_config(file).map(Invocation::Print);
    }
    let mut settings = read_settings(role, &matches)?;
    settings.arguments = arguments.to_vec();
    settings.file = matches.opt_str("settings").map(PathBuf::from);
    settings.rescue = role == Role::Store && matches.opt_present("rescue");
    if matches.opt_present("check") {
        Ok(Invocation::Print("settings are good".to_string()))
    } else {
        Ok(Invocation::Run(Box::new(settings)))
    }
}

fn options_of(role: Role) -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this and end");
    options.optflag("V", "version", "show the version and end");
    options.optflag("", "check", "check the settings and end");
    options.optopt("s", "settings", "settings file (JSON)", "FILE");
    if role == Role::Registry {
        options.optopt("", "check-setup", "check a setup as the interface would and end", "FILE");
    }
    if role == Role::Store {
        let meaning = "a majority of disks is lost: go on from this copy alone, then end; \
                       see docs/operators.md first";
        options.optflag("", "rescue", meaning);
    }
    for key in keys_of(role) {
        match key.source {
            Source::FileOnly => continue,
            Source::List => options.optmulti("", key.flag, key.meaning, "IP:PORT"),
            Source::Text | Source::Json => options.optopt("", key.flag, key.meaning, "VALUE"),
        };
    }
    options
}

/// Checks a configuration as the operators' interface would.
fn check_config(file: String) -> Result<String, StartError> {
    let bytes = match std::fs::read(&file) {
        Ok(bytes) => bytes,
        Err(error) => return Err(StartError::UnreadableConfig { file, error }),
    };
    match crate::model::parse(&bytes) {
        Ok(config) => Ok(format!(
            "good: {} classes, {} services, {} rules",
            config.classes.len(),
            config.services.len(),
            config.rules.len()
        )),
        Err(errors) => Err(StartError::InvalidConfig { file, errors }),
    }
}

/// Reads the settings file, overrides its values by the flags, and validates the result.
fn read_settings(role: Role, matches: &getopts::Matches) -> Result<Settings, StartError> {
    let mut reader = JsonReader::default();
    let mut values = match matches.opt_str("settings") {
        Some(file) => read_file(role, file, &mut reader)?,
        None => Object::new(),
    };
    override_by_flags(role, matches, &mut values);
    match check_settings(role, &values, &mut reader) {
        Some(settings) if reader.errors.is_empty() => Ok(settings),
        _ => Err(StartError::InvalidSettings(reader.errors)),
    }
}

fn read_file(role: Role, file: String, reader: &mut JsonReader) -> Result<Object, StartError> {
    let bytes = match std::fs::read(&file) {
        Ok(bytes) => bytes,
        Err(error) => return Err(StartError::UnreadableSettings { file, error }),
    };
    let known_keys: Vec<&str> = keys_of(role).map(|key| key.name).collect();
    let document = reader.document(&bytes);
    let object = document.as_ref().and_then(|value| reader.object("$", value, &known_keys));
    Ok(object.cloned().unwrap_or_else(Object::new))
}

fn override_by_flags(role: Role, matches: &getopts::Matches, values: &mut Object) {
    for key in keys_of(role).filter(|key| key.source != Source::FileOnly) {
        let flag_values = matches.opt_strs(key.flag);
        let Some(first) = flag_values.first() else { continue };
        let value = match key.source {
            Source::List => JsonValue::Array(flag_values.into_iter().map(Into::into).collect()),
            Source::Json => jzon::parse(first).unwrap_or_else(|_| JsonValue::String(first.clone())),
            Source::Text | Source::FileOnly => JsonValue::String(first.clone()),
        };
        values.insert(key.name, value);
    }
}
