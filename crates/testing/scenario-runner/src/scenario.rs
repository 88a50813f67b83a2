//! A scenario (TOML), checked.

use rushquay_node_model::{Cold, Fall, NodeSettings};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Why a scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It is no TOML, or a field is unknown or of another type.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// A field is out of its range.
    #[error("{field}: expected {expected}")]
    Field {
        /// Which.
        field: String,
        /// What was expected.
        expected: String,
    },
}

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Of all chance.
    pub seed: u64,
    /// How long requests come, in seconds, 1 to 3600.
    pub seconds: f64,
    /// Proxies, 1 to 200.
    pub proxies: usize,
    /// One way between any two, in milliseconds.
    pub way_ms: f64,
    /// A connection to a machine that is gone fails after this, in milliseconds.
    pub connect_ms: f64,
    /// Proxies are told of a change of the list after this, in milliseconds.
    pub discovery_ms: f64,
    /// What the fleet is made of.
    pub fleet: Vec<Fleet>,
    /// The origin.
    pub origin: NodeSettings,
    /// Classes of requests.
    pub class: Vec<Class>,
    /// How keys are asked for.
    pub keys: Keys,
    /// What happens.
    #[serde(default)]
    pub event: Vec<Happening>,
}

/// Nodes of one kind in one data centre.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many.
    pub nodes: usize,
    /// Their data centre.
    pub zone: String,
    /// Their machine kind.
    pub kind: String,
    /// They have just started at the beginning; else they are warm and keep the most popular keys.
    #[serde(default)]
    pub cold: bool,
    /// What each is like.
    pub node: NodeSettings,
}

/// May a request run again?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// As often as one likes.
    Safe,
    /// Nodes drop repeats for a while.
    Keyed,
    /// At most once.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Requests a second, from all clients together.
    pub rate: f64,
    /// Whether they write.
    #[serde(default)]
    pub write: bool,
    /// What a repeat does.
    pub effect: Effect,
    /// Worth most until here, in milliseconds.
    pub aim_ms: f64,
    /// Clients wait for so long, in milliseconds.
    pub patience_ms: f64,
    /// Worth of one.
    #[serde(default = "one")]
    pub worth: f64,
    /// Clients try again so often, where an answer says that it is harmless or the class is safe.
    #[serde(default)]
    pub retries: u32,
    /// After this, or what the answer advises, in milliseconds.
    #[serde(default)]
    pub retry_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// How keys are asked for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// So many.
    pub count: u64,
    /// Zipf's exponent of their popularity, 0 (all alike) to 3.
    pub skew: f64,
    /// The most popular change places at this rate, in keys a second.
    #[serde(default)]
    pub drift: f64,
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Happening {
    /// When, in seconds.
    pub at: f64,
    /// For so long, in seconds; left out: to the end, or at once.
    #[serde(default)]
    pub lasts: Option<f64>,
    /// On nodes: an id such as `surat-01`, a data centre, a machine kind, `origin` or `all`.
    #[serde(default = "all")]
    pub on: String,
    /// One after another, with so many seconds between them.
    #[serde(default)]
    pub every: f64,
    /// What.
    pub what: What,
}

fn all() -> String {
    "all".into()
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// The list says draining, and ready again afterwards.
    Drain,
    /// Drained two seconds before, then a new process; the list says so.
    Restart,
    /// A new process without a word.
    Crash,
    /// It is gone; afterwards a new process.
    Vanish,
    /// The world stops for it.
    Pause,
    /// Work takes this multiple.
    Slow(f64),
    /// This part of requests ends in errors.
    Errors(f64),
    /// This part of answers is lost with its connection.
    Resets(f64),
    /// This part of kept keys is taken for missing.
    FalseMisses(f64),
    /// Requests of all classes come this much as often.
    Rate(f64),
    /// This part of reads is for one key.
    HotKey(f64),
    /// This part of reads is for keys that are asked for once.
    Scan(f64),
    /// So many of the proxies, as a part of all, are changed by hand-over to a version that places keys otherwise; over, they are
    /// changed back. With `every`, one after another.
    Otherwise(f64),
}

impl Scenario {
    /// Reads and checks one.
    ///
    /// # Errors
    /// What is wrong, with line or field.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let need = |holds: bool, field: &str, expected: &str| match holds {
            true => Ok(()),
            false => Err(ScenarioError::Field { field: field.into(), expected: expected.into() }),
        };
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let least = |x: f64| x.is_finite() && x >= 0.0;
        need((1.0..=3600.0).contains(&self.seconds), "seconds", "1 to 3600")?;
        need((1..=200).contains(&self.proxies), "proxies", "1 to 200")?;
        need(least(self.way_ms), "way_ms", "milliseconds")?;
        need(positive(self.connect_ms), "connect_ms", "milliseconds over 0")?;
        need(least(self.discovery_ms), "discovery_ms", "milliseconds")?;
        need(!self.fleet.is_empty(), "fleet", "one at least")?;
        need(!self.class.is_empty(), "class", "one at least")?;
        let node = |field: &str, settings: &NodeSettings| {
            let named = |e: rushquay_node_model::SettingsError| ScenarioError::Field {
                field: format!("{field}.{}", e.field),
                expected: e.expected.into(),
            };
            settings.check().map_err(named)
        };
        node("origin", &self.origin)?;
        let mut ids: BTreeMap<&str, usize> = BTreeMap::new();
        for (i, fleet) in self.fleet.iter().enumerate() {
            need((1..=1000).contains(&fleet.nodes), &format!("fleet[{i}].nodes"), "1 to 1000")?;
            need(!fleet.zone.is_empty(), &format!("fleet[{i}].zone"), "a name")?;
            node(&format!("fleet[{i}].node"), &fleet.node)?;
            *ids.entry(&fleet.zone).or_default() += fleet.nodes;
        }
        for (i, class) in self.class.iter().enumerate() {
            let field = |name: &str| format!("class[{i}].{name}");
            need(
                positive(class.rate) && class.rate <= 1e6,
                &field("rate"),
                "over 0, at most 1000000 a second",
            )?;
            need(positive(class.aim_ms), &field("aim_ms"), "milliseconds over 0")?;
            need(class.patience_ms >= class.aim_ms, &field("patience_ms"), "aim_ms at least")?;
            need(positive(class.worth), &field("worth"), "a number over 0")?;
            need(least(class.retry_ms), &field("retry_ms"), "milliseconds")?;
        }
        need(self.keys.count > 0, "keys.count", "1 at least")?;
        need((0.0..=3.0).contains(&self.keys.skew), "keys.skew", "0 to 3")?;
        need(least(self.keys.drift), "keys.drift", "keys a second")?;
        for (i, event) in self.event.iter().enumerate() {
            let field = |name: &str| format!("event[{i}].{name}");
            need(least(event.at), &field("at"), "seconds")?;
            need(least(event.every), &field("every"), "seconds")?;
            need(event.lasts.is_none_or(least), &field("lasts"), "seconds")?;
            let known = !self.named(&event.on).is_empty() || event.on == "origin";
            need(known, &field("on"), "a node, data centre or kind of the fleet, origin or all")?;
            let timed =
                !matches!(event.what, What::Pause | What::Vanish | What::Drain) || event.lasts.is_some();
            need(timed, &field("lasts"), "seconds, for what is to be over again")?;
            let sound = match event.what {
                What::Slow(x) | What::Rate(x) => least(x),
                What::Errors(p)
                | What::Resets(p)
                | What::FalseMisses(p)
                | What::HotKey(p)
                | What::Scan(p)
                | What::Otherwise(p) => (0.0..=1.0).contains(&p),
                _ => true,
            };
            need(sound, &field("what"), "a part from 0 to 1, or a multiple")?;
        }
        Ok(())
    }

    /// All nodes: id, data centre and which fleet.
    pub fn nodes(&self) -> Vec<(String, usize)> {
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        let mut all = Vec::new();
        for (i, fleet) in self.fleet.iter().enumerate() {
            for _ in 0..fleet.nodes {
                let number = count.entry(&fleet.zone).or_default();
                *number += 1;
                all.push((format!("{}-{number:02}", fleet.zone), i));
            }
        }
        all
    }

    /// Which nodes a word means, by number.
    pub fn named(&self, on: &str) -> Vec<usize> {
        let means = |(id, fleet): &(String, usize)| {
            let fleet = &self.fleet[*fleet];
            on == "all" || on == id || on == fleet.zone || on == fleet.kind
        };
        let all = self.nodes();
        (0..all.len()).filter(|i| means(&all[*i])).collect()
    }

    /// Warm-up and fall of the fleet, as the settings of proxies tell them: those of the first kind that has them.
    pub fn cold(&self) -> (Option<Cold>, Option<Fall>) {
        let nodes = || self.fleet.iter().map(|f| &f.node);
        (nodes().find_map(|n| n.cold), nodes().find_map(|n| n.fall))
    }
}
