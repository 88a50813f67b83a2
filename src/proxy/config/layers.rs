//! The layers of the active configuration: the settings of the proxy's file, a config version over them, and a policy over both.

use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::settings::settings_of;
use crate::proxy::engine::Engine;
use rushquay_config_version::ConfigVersion;
use rushquay_policy::{
    apply_overlay, ActivePolicy as Leave, FallbackPolicy, Overlay, Policy, PolicyNumber, PolicySet,
    RejectedClass,
};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What the policy client permits now.
#[derive(Clone)]
pub struct PolicyLayer {
    /// The policies that this process holds a lease for.
    pub leave: Leave,
    /// The policy set that it was granted last.
    pub last: Option<PolicySet>,
    /// The documents of these policies.
    pub policies: BTreeMap<PolicyNumber, Policy>,
    /// The fallback policy of its own file.
    pub begin_by: FallbackPolicy,
}

/// Which requests are rejected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RejectedClasses {
    /// Everything is rejected.
    pub all: bool,
    /// Whether a class is rejected, by its number.
    pub classes: Vec<bool>,
}

/// The layers of the configuration. A change applies completely, from the next request on.
pub struct ConfigLayers {
    engine: Rc<Engine>,
    own: Value,
    over: RefCell<(ConfigVersion, Option<PolicyLayer>)>,
    refusing: RefCell<RejectedClasses>,
}

/// The effective settings and what is rejected under them; `None`: everything is rejected.
type Comes = (Option<ActiveConfig>, RejectedClasses);

impl ConfigLayers {
    /// The file's settings alone.
    pub fn new(engine: Rc<Engine>, own: Value) -> Rc<Self> {
        let over = RefCell::new((ConfigVersion::base(), None));
        Rc::new(ConfigLayers { engine, own, over, refusing: RefCell::default() })
    }

    /// The engine that they apply to.
    pub fn engine(&self) -> &Rc<Engine> {
        &self.engine
    }

    /// What is rejected now.
    pub fn rejects(&self, class: usize) -> bool {
        let refusing = self.refusing.borrow();
        refusing.all || refusing.classes.get(class).is_some_and(|stopped| *stopped)
    }

    /// Whether everything is rejected.
    pub fn rejects_all(&self) -> bool {
        self.refusing.borrow().all
    }

    /// Checks whether a config version could be applied under the present policy.
    ///
    /// # Errors
    /// The path of a field that cannot be applied, and why.
    pub fn check_version(&self, generation: &ConfigVersion) -> Result<(), String> {
        self.comes(generation, self.over.borrow().1.as_ref()).map(drop)
    }

    /// Applies a config version.
    ///
    /// # Errors
    /// The same; the configuration is unchanged then.
    pub fn apply_version(&self, generation: &ConfigVersion) -> Result<(), String> {
        let comes = self.comes(generation, self.over.borrow().1.as_ref())?;
        self.over.borrow_mut().0 = generation.clone();
        self.obey(comes);
        Ok(())
    }

    /// Checks whether a policy layer could be applied.
    ///
    /// # Errors
    /// The path of a field that cannot be applied, and why.
    pub fn check_policy(&self, say: &PolicyLayer) -> Result<(), String> {
        self.comes(&self.over.borrow().0, Some(say)).map(drop)
    }

    /// Applies a policy layer.
    ///
    /// # Errors
    /// The same; the configuration is unchanged then.
    pub fn apply_policy(&self, say: PolicyLayer) -> Result<(), String> {
        let comes = self.comes(&self.over.borrow().0, Some(&say))?;
        self.over.borrow_mut().1 = Some(say);
        self.obey(comes);
        Ok(())
    }

    fn obey(&self, (acting, refusing): Comes) {
        if let Some(acting) = acting {
            self.engine.apply_config(Rc::new(acting));
        }
        *self.refusing.borrow_mut() = refusing;
    }

    fn comes(&self, generation: &ConfigVersion, say: Option<&PolicyLayer>) -> Result<Comes, String> {
        let own = generation.over(&self.own).map_err(|e| e.to_string())?;
        let Some(PolicyLayer { leave, last, policies, begin_by }) = say else {
            return Ok((Some(checked(&own)?), RejectedClasses::default()));
        };
        match apply_overlay(&own, *leave, *last, policies, begin_by).map_err(|e| e.to_string())? {
            Overlay::Nobody => Ok((None, RejectedClasses { all: true, classes: Vec::new() })),
            Overlay::Settings(met) => {
                let acting = checked(&met.settings)?;
                let refusing = refusing(&met.rejected_classes, &acting.names.classes);
                Ok((Some(acting), refusing))
            }
        }
    }
}

/// Which classes are rejected.
fn refusing(stops: &BTreeSet<RejectedClass>, classes: &[String]) -> RejectedClasses {
    let stopped = |class: &String| stops.iter().any(|s| s.class.as_ref() == Some(class));
    RejectedClasses {
        all: stops.iter().any(|s| s.class.is_none()),
        classes: classes.iter().map(stopped).collect(),
    }
}

/// The effective settings; an error if this proxy cannot apply them.
fn checked(settings: &Value) -> Result<ActiveConfig, String> {
    let (settings, names) = settings_of(settings)?;
    for (i, class) in settings.classes.iter().enumerate() {
        let within = |set: &Option<Vec<u32>>, all: &[String]| {
            set.iter().flatten().all(|n| (*n as usize) < all.len() || all.is_empty())
        };
        if !within(&class.zones, &names.zones) {
            return Err(format!(
                "settings.categories[{i}].allowed_in: a data centre that this proxy doesn't know"
            ));
        }
        if !within(&class.kinds, &names.kinds) {
            return Err(format!(
                "settings.categories[{i}].allowed_on: a machine kind that this proxy doesn't know"
            ));
        }
        if class.latency_objective > class.deadline {
            return Err(format!("settings.categories[{i}].promise_ns: expected deadline_ns at most"));
        }
    }
    Ok(ActiveConfig::new(settings, names))
}
