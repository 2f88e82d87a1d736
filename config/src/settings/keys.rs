//! The table of settings, from which the keys of the file, the flags and `--help` are derived.

use super::Role;

/// How a setting can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// In the file, or as a flag whose value is a string.
    Text,
    /// In the file, or as a flag whose value is a JSON number or boolean.
    Json,
    /// In the file as a list, or as a flag that may be repeated.
    List,
    /// In the file only.
    FileOnly,
}

/// One setting.
pub(super) struct Key {
    /// The key in the file.
    pub name: &'static str,
    pub flag: &'static str,
    /// The description in `--help`.
    pub meaning: &'static str,
    pub source: Source,
    /// The only role that has this setting; `None`: all roles have it.
    role: Option<Role>,
}

impl Key {
    const fn new(name: &'static str, flag: &'static str, meaning: &'static str) -> Key {
        Key { name, flag, meaning, source: Source::Text, role: None }
    }

    const fn of_role(self, role: Role) -> Key {
        Key { role: Some(role), ..self }
    }

    const fn given_as(self, source: Source) -> Key {
        Key { source, ..self }
    }
}

/// The settings of this role, in the order of `--help`.
pub(super) fn keys_of(role: Role) -> impl Iterator<Item = &'static Key> {
    KEYS.iter().filter(move |key| key.role.is_none_or(|key_role| key_role == role))
}

const KEYS: &[Key] = &[
    Key::new("fleet", "fleet", "name of the whole fleet; daemons of other fleets are turned away"),
    Key::new("name", "name", "this daemon's own name, unique in the fleet"),
    Key::new("region", "region", "the region it stands in"),
    Key::new("zone", "zone", "the zone it stands in"),
    Key::new("listen", "listen", "IP:PORT for HTTP"),
    Key::new("advertise", "advertise", "IP:PORT others reach HTTP at (default: listen)"),
    Key::new("siblingListen", "sibling-listen", "IP:PORT for sibling traffic"),
    Key::new("siblingAdvertise", "sibling-advertise", "IP:PORT siblings reach it at"),
    Key::new("seeds", "seed", "sibling addresses of up to three other daemons (flag repeats)")
        .given_as(Source::List),
    Key::new("dataFolder", "data-folder", "store only: the one folder for its files")
        .of_role(Role::Store),
    Key::new(
        "stores",
        "stores",
        "store only: how many hold the word from the first start on (default 3)",
    )
    .of_role(Role::Store)
    .given_as(Source::Json),
    Key::new(
        "storeLosses",
        "store-losses",
        "store only: instead of stores: so many may be lost at once",
    )
    .of_role(Role::Store)
    .given_as(Source::Json),
    Key::new("firstStart", "first-start", "store only: false: never begins a word (default true)")
        .of_role(Role::Store)
        .given_as(Source::Json),
    Key::new("platform", "platform", "registry only: http://IP:PORT/PATH of the platform list")
        .of_role(Role::Registry),
    Key::new(
        "platformCallsPerSecond",
        "platform-calls-per-second",
        "registry only: calls that the platform takes for its list from all registries (file only)",
    )
    .of_role(Role::Registry)
    .given_as(Source::FileOnly),
    Key::new("graceMs", "grace-ms", "how long a stop may take before what is left is cut")
        .given_as(Source::Json),
    Key::new(
        "seedPort",
        "seed-port",
        "the sibling port of all seeds, where they are given with another one",
    )
    .given_as(Source::Json),
    Key::new("pagesListen", "pages-listen", "IP:PORT for its own pages (default: beside the rest)"),
    Key::new(
        "directoryListen",
        "directory-listen",
        "registry only: IP:PORT for clients of the directory",
    )
    .of_role(Role::Registry),
    Key::new(
        "zones",
        "zones",
        "the region of each zone, if the platform list does not tell it (file only)",
    )
    .given_as(Source::FileOnly),
    Key::new(
        "configLeaseMs",
        "config-lease-ms",
        "proxy only: how long after its removal an API key may still be accepted (default 5000)",
    )
    .of_role(Role::Proxy)
    .given_as(Source::Json),
    Key::new(
        "linkMegabits",
        "link-megabits",
        "proxy only: what its machine's link carries, in Mbit/s (file only)",
    )
    .of_role(Role::Proxy)
    .given_as(Source::FileOnly),
    Key::new(
        "retries",
        "retries",
        "proxy only: further attempts of the fleet for a service (file only)",
    )
    .of_role(Role::Proxy)
    .given_as(Source::FileOnly),
];
