//! The rule index gives the same results as a linear search of all rules.

use vanepath_config::model;

struct Random(u64);

impl Random {
    fn below(&mut self, end: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) as usize % end
    }

    fn choose<'c>(&mut self, choices: &[&'c str]) -> &'c str {
        choices[self.below(choices.len())]
    }

    /// A path of few segments with few different names, including empty ones, so that prefixes often match.
    fn path(&mut self) -> String {
        let mut path = String::new();
        for _ in 0..=self.below(4) {
            path += "/";
            path += self.choose(&["a", "b", "ab", "", ".", "a.b"]);
        }
        path
    }
}

const HOSTS: [&str; 4] = ["one.example", "One.Example", "two.example", "x"];
const METHODS: [&str; 4] = ["GET", "HEAD", "POST", "OPTIONS"];

fn random_rules(random: &mut Random, count: usize) -> Vec<String> {
    let mut rules = Vec::new();
    for index in 0..count {
        let mut parts = Vec::new();
        if random.below(3) == 0 {
            parts.push(format!(r#""host": "{}""#, random.choose(&HOSTS)));
        }
        if random.below(2) == 0 {
            let methods: std::collections::BTreeSet<&str> =
                (0..=random.below(2)).map(|_| random.choose(&METHODS)).collect();
            let methods: Vec<String> =
                methods.iter().map(|method| format!("\"{method}\"")).collect();
            parts.push(format!(r#""methods": [{}]"#, methods.join(", ")));
        }
        parts.push(format!(r#""pathPrefix": "{}""#, random.path()));
        rules.push(format!(
            r#"{{"name": "r{index}", "match": {{{}}}, "class": "c", "service": "s"}}"#,
            parts.join(", ")
        ));
    }
    rules
}

fn config_text(rules: &[String]) -> String {
    format!(
        r#"{{"classes": [{{"name": "c", "urgency": 1, "kind": "repeatable"}}],
            "services": [{{"name": "s", "selector": "all", "livenessPath": "/"}}],
            "rules": [{}]}}"#,
        rules.join(", ")
    )
}

/// The index and a linear search find the same rule for each request.
#[test]
fn the_index_finds_what_a_linear_search_finds() {
    let mut random = Random(11);
    let (mut matched, mut unmatched) = (0, 0);
    for round in 0..300 {
        let mut rules = random_rules(&mut random, 1 + round % 40);
        // Removes shadowed rules, which the parser rejects.
        let config = loop {
            match model::parse(config_text(&rules).as_bytes()) {
                Ok(config) => break config,
                Err(errors) => {
                    let shadowed = errors[0].path.strip_prefix("$.rules[").unwrap();
                    rules.remove(shadowed.strip_suffix("].match").unwrap().parse().unwrap());
                }
            }
        };
        for _ in 0..400 {
            let mut path = random.path();
            match random.below(8) {
                0 => path += "?q=/a/b",
                1 => path += "/?q",
                2 => path = random.choose(&["*", "", "a", "?", "/?"]).to_string(),
                _ => {}
            }
            let (method, host) = (random.choose(&METHODS), random.choose(&HOSTS));
            let expected = config.rules.iter().position(|rule| rule.matches(method, host, &path));
            assert_eq!(config.rule_for(method, host, &path), expected, "{method} {host} {path}");
            matched += usize::from(expected.is_some());
            unmatched += usize::from(expected.is_none());
        }
    }
    assert!(matched > 10_000 && unmatched > 10_000, "{matched} {unmatched}");
}

/// The parser reports the same shadowed rules as a search of all pairs, each with the first rule that shadows
/// it. Whether one rule shadows another is tested through the public interface: a configuration of these two
/// rules alone is rejected.
#[test]
fn the_index_finds_the_same_shadowed_rules_as_a_search_of_all_pairs() {
    let mut random = Random(5);
    let mut shadowed = 0;
    for _ in 0..120 {
        let rules = random_rules(&mut random, 12);
        let shadows = |above: &String, rule: &String| {
            model::parse(config_text(&[above.clone(), rule.clone()]).as_bytes()).is_err()
        };
        let mut expected = Vec::new();
        for index in 0..rules.len() {
            if let Some(above) = (0..index).find(|above| shadows(&rules[*above], &rules[index])) {
                expected.push(format!(
                    "$.rules[{index}].match: can never match: rule 'r{above}' above takes all of it"
                ));
            }
        }
        let found: Vec<String> = match model::parse(config_text(&rules).as_bytes()) {
            Ok(_) => Vec::new(),
            Err(errors) => errors.iter().map(ToString::to_string).collect(),
        };
        assert_eq!(found, expected);
        shadowed += expected.len();
    }
    assert!(shadowed > 100, "{shadowed}");
}
