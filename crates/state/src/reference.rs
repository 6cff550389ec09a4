//! References between resources: checks that a spec names existing resources, and finds the dependants that prevent a
//! deletion.

use crate::tables::Tables;
use dockwood_api::resource::{
    AdapterSpec, DeploymentSpec, Kind, Resource, ResourceKey, ServerSpec, ServiceSpec, Spec,
};
use dockwood_api::{ApiError, ResultCode};

impl Tables {
    /// Checks that every resource named in the spec exists, and that nothing conflicts with another resource.
    pub(crate) fn check_references(&self, resource: &Resource) -> Result<(), ApiError> {
        let mut problems = Vec::new();
        match &resource.spec {
            Spec::Adapter(spec) => self.check_adapter(spec, &mut problems),
            Spec::Deployment(spec) => self.check_deployment(spec, &mut problems),
            Spec::Server(spec) => self.check_server(&resource.metadata.name, spec, &mut problems),
            Spec::Service(spec) => self.check_service(spec, &mut problems),
            Spec::Model(_) => self.check_versions_in_use(resource, &mut problems),
            Spec::Tenant(_) => self.check_tenant_keys(resource, &mut problems),
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(ApiError::new(ResultCode::ValidationFailed, problems.join("; ")))
    }

    fn check_model_version(&self, model: &str, version: &str, problems: &mut Vec<String>) {
        match self.model(model) {
            None => problems.push(format!("spec.model: there is no model '{model}'")),
            Some(spec) if !spec.versions.iter().any(|known| known.name == version) => {
                problems.push(format!("spec.version: model '{model}' has no version '{version}'"));
            }
            Some(_) => {}
        }
    }

    fn check_adapter(&self, spec: &AdapterSpec, problems: &mut Vec<String>) {
        self.check_model_version(&spec.model, &spec.version, problems);
    }

    fn check_deployment(&self, spec: &DeploymentSpec, problems: &mut Vec<String>) {
        self.check_model_version(&spec.model, &spec.version, problems);
        for (position, name) in spec.adapters.iter().enumerate() {
            match self.adapter(name) {
                None => problems.push(format!("spec.adapters[{position}]: there is no adapter '{name}'")),
                Some(adapter) if adapter.model != spec.model || adapter.version != spec.version => {
                    let base = format!("{} {}", adapter.model, adapter.version);
                    problems.push(format!("spec.adapters[{position}]: '{name}' runs on {base}"));
                }
                Some(_) => {}
            }
        }
        self.check_tenants(&spec.tenants, problems);
    }

    fn check_tenants(&self, tenants: &[String], problems: &mut Vec<String>) {
        for (position, name) in tenants.iter().enumerate() {
            if self.tenant(name).is_none() {
                problems.push(format!("spec.tenants[{position}]: there is no tenant '{name}'"));
            }
        }
    }

    fn check_server(&self, own_name: &str, spec: &ServerSpec, problems: &mut Vec<String>) {
        for (name, other) in self.servers() {
            if name != own_name && other.address == spec.address {
                problems.push(format!("spec.address: server '{name}' has {}", spec.address));
            }
        }
        let Some(current) = self.server(own_name) else { return };
        let location_changed = (&current.domain, current.address) != (&spec.domain, spec.address);
        if location_changed && !self.is_free(own_name) {
            problems.push("spec.domain, spec.address: the server is in use; drain it first".to_string());
        }
    }

    fn check_service(&self, spec: &ServiceSpec, problems: &mut Vec<String>) {
        self.check_tenants(&spec.tenants, problems);
        for (position, server) in spec.servers.iter().enumerate() {
            if spec.servers[..position].iter().any(|earlier| earlier.name == server.name) {
                problems.push(format!("spec.servers[{position}].name: '{}' stands twice", server.name));
            }
        }
    }

    /// Reports versions that the new spec drops although a deployment or adapter still uses them.
    fn check_versions_in_use(&self, resource: &Resource, problems: &mut Vec<String>) {
        let Spec::Model(spec) = &resource.spec else { return };
        let name = &resource.metadata.name;
        let used_by_deployments =
            self.deployments().filter(|(_, used)| used.model == *name).map(|(_, used)| &used.version);
        let used_by_adapters =
            self.adapters().filter(|(_, used)| used.model == *name).map(|(_, used)| &used.version);
        for version in used_by_deployments.chain(used_by_adapters) {
            if !spec.versions.iter().any(|kept| kept.name == *version) {
                problems.push(format!("spec.versions: version '{version}' is in use"));
            }
        }
    }

    fn check_tenant_keys(&self, resource: &Resource, problems: &mut Vec<String>) {
        let Spec::Tenant(spec) = &resource.spec else { return };
        for (name, other) in self.tenants() {
            let shares_key = other.keys.iter().any(|key| spec.keys.contains(key));
            if name != resource.metadata.name && shares_key {
                problems.push(format!("spec.keys: a key is also one of tenant '{name}'"));
            }
        }
    }

    /// Display names of the resources and replicas that depend on `key`.
    pub(crate) fn dependants_of(&self, key: &ResourceKey) -> Vec<String> {
        let name = key.name.as_str();
        let deployment_name = |name: &str| ResourceKey::new(Kind::Deployment, name).to_string();
        match key.kind {
            Kind::Model => {
                let adapters = self.adapters().filter(|(_, spec)| spec.model == name);
                let adapters =
                    adapters.map(|(adapter, _)| ResourceKey::new(Kind::Adapter, adapter).to_string());
                let deployments = self.deployments().filter(|(_, spec)| spec.model == name);
                adapters.chain(deployments.map(|(deployment, _)| deployment_name(deployment))).collect()
            }
            Kind::Adapter => {
                let users =
                    self.deployments().filter(|(_, spec)| spec.adapters.iter().any(|used| used == name));
                users.map(|(deployment, _)| deployment_name(deployment)).collect()
            }
            Kind::Tenant => {
                let users =
                    self.deployments().filter(|(_, spec)| spec.tenants.iter().any(|used| used == name));
                let services =
                    self.services().filter(|(_, spec)| spec.tenants.iter().any(|used| used == name));
                let services =
                    services.map(|(service, _)| ResourceKey::new(Kind::Service, service).to_string());
                users.map(|(deployment, _)| deployment_name(deployment)).chain(services).collect()
            }
            Kind::Server => {
                let holder = self.machines.get(name).and_then(|machine| machine.holder.as_ref());
                holder
                    .map(|holder| ResourceKey::new(Kind::Replica, &holder.replica).to_string())
                    .into_iter()
                    .collect()
            }
            _ => Vec::new(),
        }
    }
}
