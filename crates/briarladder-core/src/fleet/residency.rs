//! The regions in which requests may be served.
//!
//! A route and a workspace may each name the regions in which its requests
//! are served. If both do, a request is bound to the regions that both name.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use briarladder_core::fleet::residency::AllowedRegions;
//!
//! let route = AllowedRegions::new([Arc::from("south"), Arc::from("north")]);
//! let workspace = AllowedRegions::new([Arc::from("south")]);
//! let both = route.intersection(&workspace);
//! assert!(both.allows(Some("south")) && !both.allows(Some("north")));
//! assert!(AllowedRegions::any().allows(None));
//! ```

use std::sync::Arc;

use derive_more::Display;

use super::{
    config::{FleetConfig, Workspace},
    placement::Regions,
};

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AllowedRegions {
    /// Sorted; `None` if all regions are allowed.
    names: Option<Arc<[Arc<str>]>>,
}

impl AllowedRegions {
    /// Allows all regions.
    #[must_use]
    pub fn any() -> AllowedRegions {
        AllowedRegions::default()
    }

    /// Allows some regions. An empty list allows all of them.
    #[must_use]
    pub fn new(names: impl IntoIterator<Item = Arc<str>>) -> AllowedRegions {
        let mut names: Vec<Arc<str>> = names.into_iter().collect();
        names.sort_unstable();
        names.dedup();
        let names = (!names.is_empty()).then(|| Arc::from(names));
        AllowedRegions { names }
    }

    /// Allows the regions that are allowed here and in `other`; there may be
    /// none.
    #[must_use]
    pub fn intersection(&self, other: &AllowedRegions) -> AllowedRegions {
        match (&self.names, &other.names) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(names), Some(_)) => {
                let both =
                    names.iter().filter(|name| other.allows(Some(name)));
                AllowedRegions { names: Some(both.cloned().collect()) }
            }
        }
    }

    /// Returns whether all regions are allowed.
    #[must_use]
    pub fn is_any(&self) -> bool {
        self.names.is_none()
    }

    /// Returns the allowed regions; `None` if all are.
    #[must_use]
    pub fn names(&self) -> Option<&[Arc<str>]> {
        self.names.as_deref()
    }

    /// Returns whether a region is allowed. An unknown one, `None`, is only
    /// allowed if all are.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(names) = &self.names else { return true };
        region.is_some_and(|region| {
            names.binary_search_by(|name| (**name).cmp(region)).is_ok()
        })
    }
}

/// Requests that no region may serve: those of a route, of a workspace, or of
/// a workspace on a route.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(
    "{}:{}",
    route.as_deref().unwrap_or("*"),
    workspace.as_deref().unwrap_or("*")
)]
pub struct Unservable {
    /// The route; `None` for all.
    pub route: Option<Arc<str>>,
    /// The workspace; `None` for all.
    pub workspace: Option<Arc<str>>,
}

/// Returns the requests that a configuration allows in no region with a zone,
/// so that their operator can be told.
#[must_use]
pub fn find_unservable(
    config: &FleetConfig,
    regions: &Regions,
) -> Vec<Unservable> {
    let has_zone = |allowed: &AllowedRegions| regions.have_allowed(allowed);
    let workspaces = config.workspaces_by_key.iter().flat_map(|keys| {
        keys.values().filter(|workspace| !workspace.allowed_regions.is_any())
    });
    let (workspaces, nowhere): (Vec<&Workspace>, Vec<&Workspace>) =
        workspaces.partition(|workspace| has_zone(&workspace.allowed_regions));
    let mut found: Vec<Unservable> = nowhere
        .into_iter()
        .map(|workspace| Unservable {
            route: None,
            workspace: Some(Arc::clone(&workspace.name)),
        })
        .collect();
    for route in config.routes.iter() {
        let allowed = &route.allowed_regions;
        let name = Some(Arc::clone(&route.name));
        if !has_zone(allowed) {
            found.push(Unservable { route: name, workspace: None });
            continue;
        }
        let excluded = workspaces.iter().filter(|workspace| {
            !has_zone(&allowed.intersection(&workspace.allowed_regions))
        });
        found.extend(excluded.map(|workspace| Unservable {
            route: name.clone(),
            workspace: Some(Arc::clone(&workspace.name)),
        }));
    }
    // A workspace may have several keys.
    found.sort_unstable();
    found.dedup();
    found
}

#[cfg(test)]
mod tests {
    use crate::fleet::config::{Route, RouteTable};

    use super::*;

    fn regions(names: &[&str]) -> AllowedRegions {
        AllowedRegions::new(names.iter().map(|&name| Arc::from(name)))
    }

    /// Guards against a list of a route without a common region with that of
    /// the workspace that counts as no restriction.
    #[test]
    fn intersection_empty_allows_none() {
        let none = regions(&["a"]).intersection(&regions(&["b"]));
        assert!(!none.is_any());
        assert!(!none.allows(Some("a")) && !none.allows(None));
        let any = regions(&[]).intersection(&AllowedRegions::any());
        assert!(any.is_any());
        let one = any.intersection(&regions(&["b", "a"]));
        assert!(one.allows(Some("b")) && !one.allows(None));
    }

    /// Guards against a configuration that no server can ever serve and that
    /// its operator hears nothing of, and against a report of one that can.
    #[test]
    fn find_unservable_by_pair() {
        let route = |name: &str, allowed: &[&str]| Route {
            allowed_regions: regions(allowed),
            ..Route::new(name, "h", "/")
        };
        let workspace = |name: &str, allowed: &[&str]| Workspace {
            name: Arc::from(name),
            rank: None,
            allowed_regions: regions(allowed),
        };
        let keys = [
            ("k1", workspace("in-a", &["a"])),
            ("k2", workspace("in-b", &["b"])),
            ("k3", workspace("in-b", &["b"])),
            ("k4", workspace("lost", &["z"])),
            ("k5", workspace("free", &[])),
        ];
        let keys = keys.into_iter().map(|(key, of)| (Arc::from(key), of));
        let config = FleetConfig {
            routes: RouteTable::new(vec![
                route("r-a", &["a", "z"]),
                route("r-z", &["z"]),
                route("r-any", &[]),
            ]),
            workspaces_by_key: Some(keys.collect()),
            ..FleetConfig::default()
        };
        let zones = [("a-1", "a"), ("b-1", "b")];
        let zones = zones.map(|(of, name)| (Arc::from(of), Arc::from(name)));
        let zones = Regions::new(zones.into_iter().collect());
        let found = find_unservable(&config, &zones);
        let shown: Vec<String> =
            found.iter().map(ToString::to_string).collect();
        assert_eq!(shown, ["*:lost", "r-a:in-b", "r-z:*"]);
        let free = FleetConfig::default();
        assert!(find_unservable(&free, &zones).is_empty());
    }
}
