//! The plan of a rollout: its stages, how many members may be in transit at once, and its time limits.

use crate::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// Which proxies a stage moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSelector {
    /// This many more.
    Count(usize),
    /// As many more as it takes for this share of all, or of the zone, to have moved; above 0, below 1.
    Share(f64),
    /// All that remain.
    All,
}

/// A stage of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The proxies it moves.
    pub pick: StageSelector,
    /// Only in this data centre; `None`: in all.
    pub zone: Option<String>,
    /// Minimum time for which the cohorts are compared after all members of the stage have changed.
    pub soak: Nanos,
}

/// A validated plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PlanText", into = "PlanText")]
pub struct Plan {
    stages: Vec<Stage>,
    /// Maximum number of proxies in transit at once, all of one data centre.
    pub at_once: usize,
    /// The same during a rollback.
    pub back_at_once: usize,
    /// A serving proxy applies its assignment within this time.
    pub confirm: Nanos,
    /// How long the rollout waits for a problem to pass, for missing reports, or for evidence, before it is rolled back.
    pub patience: Nanos,
    /// Time limit of the rollout, holds included; time in which no control service leads does not count.
    pub limit: Nanos,
}

/// A stage in a plan document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StageText {
    /// This many more proxies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    /// Up to this share of all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// In this data centre.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Soak time in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub soak_s: Option<f64>,
}

/// A plan document; omitted fields are as in [`PlanText::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanText {
    /// All stages but the last, which moves all that remain.
    pub stages: Vec<StageText>,
    /// Proxies in transit at once.
    pub at_once: usize,
    /// The same during a rollback.
    pub back_at_once: usize,
    /// Seconds from an assignment to its application.
    pub confirm_s: f64,
    /// Seconds that a hold may last.
    pub patience_s: f64,
    /// Seconds that the rollout may take.
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
    /// Its path.
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
        (None, Some(_)) => invalid(format!("stages[{index}].share"), "over 0 and below 1"),
        _ => invalid(format!("stages[{index}]"), "count or share, one of them"),
    }
}

impl TryFrom<PlanText> for Plan {
    type Error = PlanError;
    fn try_from(text: PlanText) -> Result<Self, PlanError> {
        if text.stages.len() > 50 {
            return invalid("stages".into(), "50 at most");
        }
        let (mut stages, mut share_before) = (Vec::new(), 0.0);
        for (i, stage) in text.stages.iter().enumerate() {
            let pick = stage_selector(i, stage)?;
            if let (StageSelector::Share(share), None) = (pick, &stage.zone) {
                if share <= share_before {
                    return invalid(format!("stages[{i}].share"), "more than in the stage before");
                }
                share_before = share;
            }
            if stage.zone.as_ref().is_some_and(|z| z.trim().is_empty()) {
                return invalid(format!("stages[{i}].zone"), "the name of a data centre");
            }
            let soak = duration(format!("stages[{i}].soak_s"), stage.soak_s.unwrap_or(text.soak_s))?;
            stages.push(Stage { pick, zone: stage.zone.clone(), soak });
        }
        stages.push(Stage { pick: StageSelector::All, zone: None, soak: duration("soak_s", text.soak_s)? });
        for (field, n) in [("at_once", text.at_once), ("back_at_once", text.back_at_once)] {
            if !(1..=10_000).contains(&n) {
                return invalid(field.into(), "1 to 10000");
            }
        }
        Ok(Plan {
            stages,
            at_once: text.at_once,
            back_at_once: text.back_at_once,
            confirm: duration("confirm_s", text.confirm_s)?,
            patience: duration("patience_s", text.patience_s)?,
            limit: duration("limit_s", text.limit_s)?,
        })
    }
}

impl From<Plan> for PlanText {
    fn from(plan: Plan) -> Self {
        let seconds = |span: Nanos| span as f64 / SECOND as f64;
        let last = plan.stages.last().map_or(0, |s| s.soak);
        let text = |s: &Stage| StageText {
            count: if let StageSelector::Count(n) = s.pick { Some(n) } else { None },
            share: if let StageSelector::Share(s) = s.pick { Some(s) } else { None },
            zone: s.zone.clone(),
            soak_s: Some(seconds(s.soak)),
        };
        PlanText {
            stages: plan.stages.iter().filter(|s| s.pick != StageSelector::All).map(text).collect(),
            at_once: plan.at_once,
            back_at_once: plan.back_at_once,
            confirm_s: seconds(plan.confirm),
            patience_s: seconds(plan.patience),
            limit_s: seconds(plan.limit),
            soak_s: seconds(last),
        }
    }
}

impl Plan {
    /// The stages; the last one moves all that remain.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// A stage by its index; beyond the last, the last one.
    pub fn stage(&self, number: usize) -> &Stage {
        &self.stages[number.min(self.stages.len() - 1)]
    }

    /// Whether this index is that of the last stage.
    pub fn last(&self, number: usize) -> bool {
        number + 1 >= self.stages.len()
    }
}
