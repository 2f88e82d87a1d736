//! The index of the rules finds what a linear search of all of them finds.

use vanepath_config::model;

struct Random(u64);

impl Random {
    fn below(&mut self, end: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) as usize % end
    }

    fn one<'c>(&mut self, choice: &[&'c str]) -> &'c str {
        choice[self.below(choice.len())]
    }

    /// Few segments of few names, empty ones among them, so that much meets.
    fn path(&mut self) -> String {
        let mut path = String::new();
        for _ in 0..=self.below(4) {
            path += "/";
            path += self.one(&["a", "b", "ab", "", ".", "a.b"]);
        }
        path
    }
}

const HOSTS: [&str; 4] = ["one.example", "One.Example", "two.example", "x"];
const METHODS: [&str; 4] = ["GET", "HEAD", "POST", "OPTIONS"];

fn some_rules(random: &mut Random, count: usize) -> Vec<String> {
    let mut listed = Vec::new();
    for index in 0..count {
        let mut parts = Vec::new();
        if random.below(3) == 0 {
            parts.push(format!(r#""host": "{}""#, random.one(&HOSTS)));
        }
        if random.below(2) == 0 {
            let methods: std::collections::BTreeSet<&str> =
                (0..=random.below(2)).map(|_| random.one(&METHODS)).collect();
            let methods: Vec<String> = methods.iter().map(|one| format!("\"{one}\"")).collect();
            parts.push(format!(r#""methods": [{}]"#, methods.join(", ")));
        }
        parts.push(format!(r#""pathPrefix": "{}""#, random.path()));
        listed.push(format!(
            r#"{{"name": "r{index}", "match": {{{}}}, "class": "c", "service": "s"}}"#,
            parts.join(", ")
        ));
    }
    listed
}

fn config_text(rules: &[String]) -> String {
    format!(
        r#"{{"classes": [{{"name": "c", "urgency": 1, "kind": "repeatable"}}],
            "services": [{{"name": "s", "selector": "all", "livenessPath": "/"}}],
            "rules": [{}]}}"#,
        rules.join(", ")
    )
}

/// Requests get the rule by the index that a linear search gives them.
#[test]
fn the_index_finds_what_a_linear_search_finds() {
    let mut random = Random(11);
    let (mut matched, mut unmatched) = (0, 0);
    for round in 0..300 {
        let mut rules = some_rules(&mut random, 1 + round % 40);
        // Without those that are shadowed, which are rejected.
        let config = loop {
            match model::parse(config_text(&rules).as_bytes()) {
                Ok(config) => break config,
                Err(errors) => {
                    let covered = errors[0].path.strip_prefix("$.rules[").unwrap();
                    rules.remove(covered.strip_suffix("].match").unwrap().parse().unwrap());
                }
            }
        };
        for _ in 0..400 {
            let mut path = random.path();
            match random.below(8) {
                0 => path += "?q=/a/b",
                1 => path += "/?q",
                2 => path = random.one(&["*", "", "a", "?", "/?"]).to_string(),
                _ => {}
            }
            let (method, host) = (random.one(&METHODS), random.one(&HOSTS));
            let walked = config.rules.iter().position(|rule| rule.matches(method, host, &path));
            assert_eq!(config.rule_for(method, host, &path), walked, "{method} {host} {path}");
            matched += usize::from(walked.is_some());
            unmatched += usize::from(walked.is_none());
        }
    }
    assert!(matched > 10_000 && unmatched > 10_000, "{matched} {unmatched}");
}

/// Which rules are shadowed, and by which first, as a search of all pairs says. Whether one rule shadows
/// another is known by the one public way there is: a configuration of these two alone is rejected.
#[test]
fn the_index_finds_the_same_shadowed_rules_as_a_search_of_all_pairs() {
    let mut random = Random(5);
    let mut covered = 0;
    for _ in 0..120 {
        let rules = some_rules(&mut random, 12);
        let is_covering = |above: &String, rule: &String| {
            model::parse(config_text(&[above.clone(), rule.clone()]).as_bytes()).is_err()
        };
        let mut walked = Vec::new();
        for index in 0..rules.len() {
            if let Some(above) = (0..index).find(|above| is_covering(&rules[*above], &rules[index]))
            {
                walked.push(format!(
                    "$.rules[{index}].match: can never match: rule 'r{above}' above takes all of it"
                ));
            }
        }
        let found: Vec<String> = match model::parse(config_text(&rules).as_bytes()) {
            Ok(_) => Vec::new(),
            Err(errors) => errors.iter().map(ToString::to_string).collect(),
        };
        assert_eq!(found, walked);
        covered += walked.len();
    }
    assert!(covered > 100, "{covered}");
}
