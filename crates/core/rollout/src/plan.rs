//! In which stages a change is made, how many may be on their way at once, and how long it may take.

use crate::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// Which proxies a stage adds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSelector {
    /// So many more.
    Count(usize),
    /// So many more that this share of all, or of the zone, has changed; over 0, below 1.
    Share(f64),
    /// All that are left.
    All,
}

/// A stage.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Which proxies.
    pub pick: StageSelector,
    /// Of this data centre alone; `None`: of all.
    pub zone: Option<String>,
    /// For so long at least old and new are compared once all of the stage have changed.
    pub soak: Nanos,
}

/// A plan, checked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PlanText", into = "PlanText")]
pub struct Plan {
    stages: Vec<Stage>,
    /// Proxies, all of one data centre, that may be on their way at once.
    pub at_once: usize,
    /// The same on the way back.
    pub back_at_once: usize,
    /// One that serves and was told acts by it within this time.
    pub confirm: Nanos,
    /// So long the change waits for a trouble to pass, for proxies that are silent, or for evidence, before it goes back.
    pub patience: Nanos,
    /// So long it may take in all, holds included; what passes while no control service leads does not count.
    pub limit: Nanos,
}

/// A stage as it is written.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StageText {
    /// So many more proxies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<usize>,
    /// Up to this share of all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// In this data centre.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub soak_s: Option<f64>,
}

/// A plan as it is written; what is left out is as in [`PlanText::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanText {
    /// The stages but the last, which takes all that are left.
    pub stages: Vec<StageText>,
    /// Proxies on their way at once.
    pub at_once: usize,
    /// The same on the way back.
    pub back_at_once: usize,
    /// Seconds from being told to acting.
    pub confirm_s: f64,
    /// Seconds that a hold may last.
    pub patience_s: f64,
    /// Seconds that the whole may take.
    pub limit_s: f64,
    /// Seconds at the end of each stage that says nothing else.
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

/// A field that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct PlanError {
    /// Its path.
    pub field: String,
    /// What was expected.
    pub expected: &'static str,
}

const SPAN: &str = "seconds from 0.1 to 604800";

fn span(field: impl Into<String>, seconds: f64) -> Result<Nanos, PlanError> {
    match (0.1..=604_800.0).contains(&seconds) {
        true => Ok((seconds * SECOND as f64).round() as Nanos),
        false => Err(PlanError { field: field.into(), expected: SPAN }),
    }
}

impl TryFrom<PlanText> for Plan {
    type Error = PlanError;
    fn try_from(text: PlanText) -> Result<Self, PlanError> {
        let fault = |field: String, expected| Err(PlanError { field, expected });
        if text.stages.len() > 50 {
            return fault("stages".into(), "50 at most");
        }
        let (mut stages, mut share_before) = (Vec::new(), 0.0);
        for (i, stage) in text.stages.iter().enumerate() {
            let pick = match (stage.count, stage.share) {
                (Some(count), None) if (1..=100_000).contains(&count) => StageSelector::Count(count),
                (Some(_), None) => return fault(format!("stages[{i}].count"), "1 to 100000"),
                (None, Some(share)) if share > 0.0 && share < 1.0 => StageSelector::Share(share),
                (None, Some(_)) => return fault(format!("stages[{i}].share"), "over 0 and below 1"),
                _ => return fault(format!("stages[{i}]"), "count or share, one of them"),
            };
            if let (StageSelector::Share(share), None) = (pick, &stage.zone) {
                if share <= share_before {
                    return fault(format!("stages[{i}].share"), "more than in the stage before");
                }
                share_before = share;
            }
            if stage.zone.as_ref().is_some_and(|z| z.trim().is_empty()) {
                return fault(format!("stages[{i}].zone"), "the name of a data centre");
            }
            let soak = span(format!("stages[{i}].soak_s"), stage.soak_s.unwrap_or(text.soak_s))?;
            stages.push(Stage { pick, zone: stage.zone.clone(), soak });
        }
        stages.push(Stage { pick: StageSelector::All, zone: None, soak: span("soak_s", text.soak_s)? });
        for (field, n) in [("at_once", text.at_once), ("back_at_once", text.back_at_once)] {
            if !(1..=10_000).contains(&n) {
                return fault(field.into(), "1 to 10000");
            }
        }
        Ok(Plan {
            stages,
            at_once: text.at_once,
            back_at_once: text.back_at_once,
            confirm: span("confirm_s", text.confirm_s)?,
            patience: span("patience_s", text.patience_s)?,
            limit: span("limit_s", text.limit_s)?,
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
    /// The stages; the last takes all that are left.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// One of them; past the last, the last.
    pub fn stage(&self, number: usize) -> &Stage {
        &self.stages[number.min(self.stages.len() - 1)]
    }

    /// Whether it is the last.
    pub fn last(&self, number: usize) -> bool {
        number + 1 >= self.stages.len()
    }
}
