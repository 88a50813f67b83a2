//! The layers of the active configuration: the settings in the proxy's file, then a config version, then a policy.

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

/// The policy state that the policy client currently permits.
#[derive(Clone)]
pub struct PolicyLayer {
    /// The policies that this process holds a lease for.
    pub leave: Leave,
    /// The policy set of the last lease that was granted.
    pub last: Option<PolicySet>,
    /// The policies, by number.
    pub policies: BTreeMap<PolicyNumber, Policy>,
    /// The fallback policy in the proxy's own file.
    pub fallback_policy: FallbackPolicy,
}

/// Which requests are rejected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RejectedClasses {
    /// Everything is rejected.
    pub all: bool,
    /// For each class, whether it is rejected.
    pub classes: Vec<bool>,
}

/// The layers of the configuration. A change applies completely, from the next request on.
pub struct ConfigLayers {
    engine: Rc<Engine>,
    own: Value,
    overlays: RefCell<(ConfigVersion, Option<PolicyLayer>)>,
    rejections: RefCell<RejectedClasses>,
}

/// The effective settings and what is rejected under them; `None`: everything is rejected.
type EffectiveConfig = (Option<ActiveConfig>, RejectedClasses);

impl ConfigLayers {
    /// Starts with the file's settings alone.
    pub fn new(engine: Rc<Engine>, own: Value) -> Rc<Self> {
        let overlays = RefCell::new((ConfigVersion::base(), None));
        Rc::new(ConfigLayers { engine, own, overlays, rejections: RefCell::default() })
    }

    /// The engine that the configuration applies to.
    pub fn engine(&self) -> &Rc<Engine> {
        &self.engine
    }

    /// Whether requests of this class are rejected.
    pub fn rejects(&self, class: usize) -> bool {
        let rejections = self.rejections.borrow();
        rejections.all || rejections.classes.get(class).is_some_and(|is_rejected| *is_rejected)
    }

    /// Whether everything is rejected.
    pub fn rejects_all(&self) -> bool {
        self.rejections.borrow().all
    }

    /// Checks whether a config version could be applied under the present policy.
    ///
    /// # Errors
    /// The path of a field that cannot be applied, and why.
    pub fn check_version(&self, version: &ConfigVersion) -> Result<(), String> {
        self.compute_effective(version, self.overlays.borrow().1.as_ref()).map(drop)
    }

    /// Applies a config version.
    ///
    /// # Errors
    /// As for the matching check. The configuration is unchanged in this case.
    pub fn apply_version(&self, version: &ConfigVersion) -> Result<(), String> {
        let compute_effective = self.compute_effective(version, self.overlays.borrow().1.as_ref())?;
        self.overlays.borrow_mut().0 = version.clone();
        self.install(compute_effective);
        Ok(())
    }

    /// Checks whether a policy layer could be applied.
    ///
    /// # Errors
    /// The path of a field that cannot be applied, and why.
    pub fn check_policy(&self, layer: &PolicyLayer) -> Result<(), String> {
        self.compute_effective(&self.overlays.borrow().0, Some(layer)).map(drop)
    }

    /// Applies a policy layer.
    ///
    /// # Errors
    /// As for the matching check. The configuration is unchanged in this case.
    pub fn apply_policy(&self, layer: PolicyLayer) -> Result<(), String> {
        let compute_effective = self.compute_effective(&self.overlays.borrow().0, Some(&layer))?;
        self.overlays.borrow_mut().1 = Some(layer);
        self.install(compute_effective);
        Ok(())
    }

    /// Applies a computed configuration.
    fn install(&self, (active_config, rejections): EffectiveConfig) {
        if let Some(active_config) = active_config {
            self.engine.apply_config(Rc::new(active_config));
        }
        *self.rejections.borrow_mut() = rejections;
    }

    /// Computes the effective configuration of a config version and a policy layer, without applying it.
    fn compute_effective(
        &self,
        version: &ConfigVersion,
        layer: Option<&PolicyLayer>,
    ) -> Result<EffectiveConfig, String> {
        let own = version.over(&self.own).map_err(|e| e.to_string())?;
        let Some(PolicyLayer { leave, last, policies, fallback_policy: begin_by }) = layer else {
            return Ok((Some(parse_checked(&own)?), RejectedClasses::default()));
        };
        match apply_overlay(&own, *leave, *last, policies, begin_by).map_err(|e| e.to_string())? {
            Overlay::Nobody => Ok((None, RejectedClasses { all: true, classes: Vec::new() })),
            Overlay::Settings(overlay) => {
                let active_config = parse_checked(&overlay.settings)?;
                let rejections = rejections(&overlay.rejected_classes, &active_config.names.classes);
                Ok((Some(active_config), rejections))
            }
        }
    }
}

/// Maps the rejected classes of a policy to class indexes.
fn rejections(rejected: &BTreeSet<RejectedClass>, classes: &[String]) -> RejectedClasses {
    let is_rejected = |class: &String| rejected.iter().any(|s| s.class.as_ref() == Some(class));
    RejectedClasses {
        all: rejected.iter().any(|s| s.class.is_none()),
        classes: classes.iter().map(is_rejected).collect(),
    }
}

/// Parses the effective settings; an error if this proxy cannot apply them.
fn parse_checked(settings: &Value) -> Result<ActiveConfig, String> {
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
