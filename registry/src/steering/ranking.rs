//! The ranking of pathways for one rule and one client.
//!
//! Within a tier of the rule's preferences the pathways are ranked by weighted rendezvous hashing (Thaler
//! and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996; with weights by the score
//! `-ln(draw) / weight`). Over all clients the pathways get their shares, one client always gets the same
//! ranking, and a change of shares moves as few clients as possible.

use super::client::Client;
use super::pathways::Pathway;
use vanepath_cluster::node::ClusterView;
use vanepath_config::model::Rule;
use vanepath_config::selector::{ClientLocation, Selector};

/// One entry of a ranking.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedPathway {
    /// The index of the pathway in the list that was ranked.
    pub pathway: usize,
    /// Why the pathway has this rank, for operators.
    pub reason: String,
}

/// Pathways of equal preference, which divide the clients among them.
struct Tier {
    name: String,
    /// Pathway selectors, each with its share of the clients in percent.
    shares: Vec<(Selector, f64)>,
}

impl Tier {
    fn with_selector(name: &str, selector: Selector) -> Tier {
        Tier { name: name.to_string(), shares: vec![(selector, 100.0)] }
    }
}

/// Ranks `pathways` for one client by the rule at `rule_index`. Pathways outside the rule's regions are left
/// out.
pub fn rank_pathways(
    view: &ClusterView,
    pathways: &[Pathway],
    rule_index: usize,
    client: &Client,
) -> Vec<RankedPathway> {
    let rule = &view.config.rules[rule_index];
    let mut ranked: Vec<RankedPathway> = Vec::new();
    let mut is_ranked = vec![false; pathways.len()];
    for tier in tiers(rule) {
        ranked.extend(rank_tier(&tier, rule, pathways, client, &mut is_ranked));
    }
    // Unreachable pathways come last; the sort is stable and keeps the order otherwise.
    ranked.sort_by_key(|entry| pathways[entry.pathway].is_unreachable);
    for entry in &mut ranked {
        if pathways[entry.pathway].is_unreachable {
            entry.reason += "; not heard of, so only if nothing else replies";
        }
    }
    shift_client(view, pathways, rule_index, client, &mut ranked);
    ranked
}

/// The tiers of the rule's preferences, followed by tiers of increasing distance for pathways that the
/// preferences do not select: clients use them if no preferred pathway is left.
fn tiers(rule: &Rule) -> Vec<Tier> {
    let constant = |text: &str| Selector::parse(text).expect("a constant selector is valid");
    let mut tiers: Vec<Tier> = rule
        .prefer
        .iter()
        .enumerate()
        .map(|(index, tier)| Tier {
            name: format!("preference {}", index + 1),
            shares: tier.iter().map(|entry| (entry.zones.clone(), entry.share)).collect(),
        })
        .collect();
    if tiers.is_empty() {
        tiers.push(Tier::with_selector("own zone", constant("zone = @zone")));
    }
    tiers.push(Tier::with_selector("own region", constant("region = @region")));
    tiers.push(Tier::with_selector("elsewhere", Selector::all()));
    tiers
}

/// Ranks the pathways of a tier that no earlier tier has ranked.
fn rank_tier(
    tier: &Tier,
    rule: &Rule,
    pathways: &[Pathway],
    client: &Client,
    is_ranked: &mut [bool],
) -> Vec<RankedPathway> {
    struct Candidate {
        score: f64,
        pathway: usize,
        reason: String,
    }
    let client_location = ClientLocation { zone: &client.zone, region: &client.region };
    let mut candidates: Vec<Candidate> = Vec::new();
    for (selector, share) in &tier.shares {
        let matching: Vec<usize> = (0..pathways.len())
            .filter(|index| {
                !is_ranked[*index]
                    && rule.allows_region(&pathways[*index].region)
                    && selector.matches(&pathways[*index], client_location)
            })
            .collect();
        let proxy_count: usize =
            matching.iter().map(|index| pathways[*index].addresses.len()).sum();
        for index in matching {
            is_ranked[index] = true;
            let fraction = pathways[index].addresses.len() as f64 / proxy_count.max(1) as f64;
            let weight = share / 100.0 * fraction;
            let draw = draw(client.bucket, &pathways[index].zone);
            // A pathway with a share of zero ranks after all others of the tier.
            let score = if weight > 0.0 { -draw.ln() / weight } else { f64::MAX };
            let reason = format!("{}, share {:.0} %", tier.name, weight * 100.0);
            candidates.push(Candidate { score, pathway: index, reason });
        }
    }
    candidates.sort_by(|left, right| {
        left.score
            .total_cmp(&right.score)
            .then(pathways[left.pathway].zone.cmp(&pathways[right.pathway].zone))
    });
    let ranked = candidates.into_iter();
    ranked.map(|Candidate { pathway, reason, .. }| RankedPathway { pathway, reason }).collect()
}

/// Applies the traffic-shift plan (design 7.4). If the client's first pathway is overloaded and the client
/// belongs to the share that is shifted away, one of the pathways with spare capacity is drawn and moved to
/// the front. Both draws depend on the client's bucket alone, so that as few clients as possible move when
/// the shares change.
fn shift_client(
    view: &ClusterView,
    pathways: &[Pathway],
    rule_index: usize,
    client: &Client,
    ranked: &mut [RankedPathway],
) {
    let Some(first) = ranked.first() else { return };
    let zone = &pathways[first.pathway].zone;
    let service = &view.config.services[view.config.rules[rule_index].service].name;
    let shares = view.plan.shifted.get(service).and_then(|shifted| shifted.get(zone));
    let Some(shares) = shares else { return };
    let shifted: u32 = shares.values().sum();
    let client_draw =
        vanepath_config::stable_hash(&["move", zone, &client.bucket.to_string()]) % 1000;
    if client_draw >= u64::from(shifted) {
        return;
    }
    let mut best: Option<(f64, usize)> = None;
    for (index, entry) in ranked.iter().enumerate().skip(1) {
        let pathway = &pathways[entry.pathway];
        let share = shares.get(&pathway.zone);
        let Some(share) = share.filter(|share| **share > 0 && !pathway.is_unreachable) else {
            continue;
        };
        let score = -draw(client.bucket, &pathway.zone).ln() / f64::from(*share);
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, index));
        }
    }
    let Some((_, index)) = best else { return };
    let reason = format!("; {zone} is asked for too much, {:.1} % move", f64::from(shifted) / 10.0);
    ranked[..=index].rotate_right(1);
    ranked[0].reason += &reason;
}

/// The rendezvous hash of a bucket for a zone, as a number in the open interval (0, 1).
fn draw(bucket: u64, zone: &str) -> f64 {
    let hash = vanepath_config::stable_hash(&["draw", zone, &bucket.to_string()]);
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
