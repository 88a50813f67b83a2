//! The plan of a rollout: its stages, how many members may be in transit at once, and its time limits. A member is in transit from
//! its assignment until it applies the assigned version.

use crate::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// Which proxies a stage moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSelector {
    /// This many more proxies.
    Count(usize),
    /// As many more as it takes for this share of all proxies, or of those in the zone, to have moved; above 0, below 1.
    Share(f64),
    /// All remaining proxies.
    All,
}

/// A stage of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Selects the proxies that it moves.
    pub selector: StageSelector,
    /// Limits the stage to this data centre; `None`: all data centres.
    pub zone: Option<String>,
    /// Minimum time for which the cohorts are compared after all members of the stage apply the new version.
    pub soak: Nanos,
}

/// A validated plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PlanText", into = "PlanText")]
pub struct Plan {
    stages: Vec<Stage>,
    /// Maximum number of proxies in transit at once, all of one data centre.
    pub max_in_transit: usize,
    /// The same during a rollback.
    pub max_in_transit_rollback: usize,
    /// Maximum time from an assignment until a serving proxy applies it.
    pub confirm_timeout: Nanos,
    /// How long a hold other than an operator's may last, and how long after its soak time a stage may lack evidence, before the
    /// rollout is rolled back.
    pub hold_timeout: Nanos,
    /// Time limit of the rollout, including holds; time without a leading control service does not count.
    pub time_limit: Nanos,
}

/// A stage in a plan document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StageText {
    /// Number of further proxies to move.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    /// Share of all proxies that have moved at the end of the stage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// The data centre to which the stage is limited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Minimum soak time in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub soak_s: Option<f64>,
}

/// A plan document; omitted fields are as in [`PlanText::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanText {
    /// All stages but the last, which moves all remaining proxies.
    pub stages: Vec<StageText>,
    /// Maximum number of proxies in transit at once.
    pub at_once: usize,
    /// The same during a rollback.
    pub back_at_once: usize,
    /// Maximum time from an assignment until a serving proxy applies it, in seconds.
    pub confirm_s: f64,
    /// Time limit of a hold, in seconds.
    pub patience_s: f64,
    /// Time limit of the rollout, in seconds.
    pub limit_s: f64,
    /// Soak time of stages without one of their own, in seconds.
    pub soak_s: f64,
}

impl Default for PlanText {
    fn default() -> Self {
        let stage = |count, share| StageText { count, share, ..StageText::default() };
        PlanText {
            stages: vec![stage(Some(1), None), stage(None, Some(0.1)), stage(None, Some(0.5))],
            at_once: 2,
            back_at_once: 10,
            confirm_s: 20.0,
            patience_s: 900.0,
            limit_s: 14_400.0,
            soak_s: 300.0,
        }
    }
}

/// An invalid field of a plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct PlanError {
    /// The path of the field.
    pub field: String,
    /// What was expected.
    pub expected: &'static str,
}

const EXPECTED_DURATION: &str = "seconds from 0.1 to 604800";

fn duration(field: impl Into<String>, seconds: f64) -> Result<Nanos, PlanError> {
    match (0.1..=604_800.0).contains(&seconds) {
        true => Ok((seconds * SECOND as f64).round() as Nanos),
        false => Err(PlanError { field: field.into(), expected: EXPECTED_DURATION }),
    }
}

fn invalid<T>(field: String, expected: &'static str) -> Result<T, PlanError> {
    Err(PlanError { field, expected })
}

fn stage_selector(index: usize, stage: &StageText) -> Result<StageSelector, PlanError> {
    match (stage.count, stage.share) {
        (Some(count), None) if (1..=100_000).contains(&count) => Ok(StageSelector::Count(count)),
        (Some(_), None) => invalid(format!("stages[{index}].count"), "1 to 100000"),
        (None, Some(share)) if share > 0.0 && share < 1.0 => Ok(StageSelector::Share(share)),
        (None, Some(_)) => invalid(format!("stages[{index}].share"), "above 0 and below 1"),
        _ => invalid(format!("stages[{index}]"), "either count or share"),
    }
}

impl TryFrom<PlanText> for Plan {
    type Error = PlanError;
    fn try_from(text: PlanText) -> Result<Self, PlanError> {
        if text.stages.len() > 50 {
            return invalid("stages".into(), "at most 50 stages");
        }
        let (mut stages, mut previous_share) = (Vec::new(), 0.0);
        for (i, stage) in text.stages.iter().enumerate() {
            let selector = stage_selector(i, stage)?;
            if let (StageSelector::Share(share), None) = (selector, &stage.zone) {
                if share <= previous_share {
                    return invalid(format!("stages[{i}].share"), "more than the share of the stage before");
                }
                previous_share = share;
            }
            if stage.zone.as_ref().is_some_and(|z| z.trim().is_empty()) {
                return invalid(format!("stages[{i}].zone"), "the name of a data centre");
            }
            let soak = duration(format!("stages[{i}].soak_s"), stage.soak_s.unwrap_or(text.soak_s))?;
            stages.push(Stage { selector, zone: stage.zone.clone(), soak });
        }
        stages.push(Stage {
            selector: StageSelector::All,
            zone: None,
            soak: duration("soak_s", text.soak_s)?,
        });
        for (field, n) in [("at_once", text.at_once), ("back_at_once", text.back_at_once)] {
            if !(1..=10_000).contains(&n) {
                return invalid(field.into(), "1 to 10000");
            }
        }
        Ok(Plan {
            stages,
            max_in_transit: text.at_once,
            max_in_transit_rollback: text.back_at_once,
            confirm_timeout: duration("confirm_s", text.confirm_s)?,
            hold_timeout: duration("patience_s", text.patience_s)?,
            time_limit: duration("limit_s", text.limit_s)?,
        })
    }
}

impl From<Plan> for PlanText {
    fn from(plan: Plan) -> Self {
        let seconds = |span: Nanos| span as f64 / SECOND as f64;
        let last = plan.stages.last().map_or(0, |s| s.soak);
        let text = |s: &Stage| StageText {
            count: if let StageSelector::Count(n) = s.selector { Some(n) } else { None },
            share: if let StageSelector::Share(s) = s.selector { Some(s) } else { None },
            zone: s.zone.clone(),
            soak_s: Some(seconds(s.soak)),
        };
        PlanText {
            stages: plan.stages.iter().filter(|s| s.selector != StageSelector::All).map(text).collect(),
            at_once: plan.max_in_transit,
            back_at_once: plan.max_in_transit_rollback,
            confirm_s: seconds(plan.confirm_timeout),
            patience_s: seconds(plan.hold_timeout),
            limit_s: seconds(plan.time_limit),
            soak_s: seconds(last),
        }
    }
}

impl Plan {
    /// The stages; the last one moves all remaining proxies.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// The stage with this index, or the last one if the index is out of range.
    pub fn stage(&self, index: usize) -> &Stage {
        &self.stages[index.min(self.stages.len() - 1)]
    }

    /// Whether this is the index of the last stage.
    pub fn is_last_stage(&self, index: usize) -> bool {
        index + 1 >= self.stages.len()
    }
}
