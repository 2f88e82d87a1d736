//! The architecture page names modules, types and functions: all of them exist.

use std::path::{Path, PathBuf};

const CRATES: [&str; 9] = [
    "config",
    "cluster",
    "store",
    "registry",
    "proxy",
    "client",
    "config-check",
    "testbed",
    "platform",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The paths in code font that begin with a crate of this repository.
fn named_paths(page: &str) -> Vec<Vec<&str>> {
    let spans = page.split('`').skip(1).step_by(2);
    spans
        .map(|span| span.split("::").collect::<Vec<&str>>())
        .filter(|path| path.len() > 1 && CRATES.contains(&path[0]))
        .collect()
}

/// The sources below a module: its file and, if it has one, its directory.
fn sources(module: &Path) -> Vec<PathBuf> {
    let mut found = vec![module.with_extension("rs")];
    let mut directories = vec![module.to_path_buf()];
    while let Some(directory) = directories.pop() {
        let Ok(entries) = std::fs::read_dir(&directory) else { continue };
        for entry in entries {
            let path = entry.unwrap().path();
            if path.is_dir() {
                directories.push(path);
            } else {
                found.push(path);
            }
        }
    }
    found.retain(|path| path.extension().is_some_and(|extension| extension == "rs"));
    found.retain(|path| path.exists());
    found
}

fn defines(source: &str, name: &str) -> bool {
    ["fn", "struct", "enum", "trait", "type"].iter().any(|kind| {
        let start = format!("{kind} {name}");
        source.match_indices(&start).any(|(at, _)| {
            let next = source[at + start.len()..].chars().next();
            next.is_none_or(|next| !next.is_alphanumeric() && next != '_')
        })
    })
}

#[test]
fn the_architecture_page_names_what_exists() {
    let page = std::fs::read_to_string(root().join("docs/architecture.md")).unwrap();
    let paths = named_paths(&page);
    assert!(paths.len() > 40, "only {} names are found on the page", paths.len());
    for path in paths {
        let mut module = root().join(path[0]).join("src");
        let mut rest = &path[1..];
        while let Some((next, after)) = rest.split_first() {
            let deeper = module.join(next);
            if !deeper.is_dir() && !deeper.with_extension("rs").exists() {
                break;
            }
            module = deeper;
            rest = after;
        }
        for name in rest {
            let found = sources(&module)
                .iter()
                .any(|source| defines(&std::fs::read_to_string(source).unwrap(), name));
            assert!(found, "{}: there is no '{name}'", path.join("::"));
        }
    }
}
