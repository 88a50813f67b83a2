// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
pub mod envoy {
    pub mod config {
        pub mod bootstrap {
            pub mod v3 {
                include!("envoy.config.bootstrap.v3.rs");
            }
        }
        pub mod cluster {
            pub mod v3 {
                include!("envoy.config.cluster.v3.rs");
            }
        }
        pub mod core {
            pub mod v3 {
                include!("envoy.config.core.v3.rs");
            }
        }
        pub mod endpoint {
            pub mod v3 {
                include!("envoy.config.endpoint.v3.rs");
            }
        }
        pub mod listener {
            pub mod v3 {
                include!("envoy.config.listener.v3.rs");
            }
        }
        pub mod route {
            pub mod v3 {
                include!("envoy.config.route.v3.rs");
            }
        }
    }
    pub mod extensions {
        pub mod clusters {
            pub mod aggregate {
                pub mod v3 {
                    include!("envoy.extensions.clusters.aggregate.v3.rs");
                }
            }
        }
        pub mod filters {
            pub mod http {
                pub mod router {
                    pub mod v3 {
                        include!("envoy.extensions.filters.http.router.v3.rs");
                    }
                }
            }
            pub mod network {
                pub mod http_connection_manager {
                    pub mod v3 {
                        include!("envoy.extensions.filters.network.http_connection_manager.v3.rs");
                    }
                }
            }
        }
        pub mod load_balancing_policies {
            pub mod client_side_weighted_round_robin {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.client_side_weighted_round_robin.v3.rs");
                }
            }
            pub mod common {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.common.v3.rs");
                }
            }
            pub mod least_request {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.least_request.v3.rs");
                }
            }
            pub mod maglev {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.maglev.v3.rs");
                }
            }
            pub mod random {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.random.v3.rs");
                }
            }
            pub mod ring_hash {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.ring_hash.v3.rs");
                }
            }
            pub mod round_robin {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.round_robin.v3.rs");
                }
            }
            pub mod wrr_locality {
                pub mod v3 {
                    include!("envoy.extensions.load_balancing_policies.wrr_locality.v3.rs");
                }
            }
        }
        pub mod transport_sockets {
            pub mod tls {
                pub mod v3 {
                    include!("envoy.extensions.transport_sockets.tls.v3.rs");
                }
            }
        }
        pub mod upstreams {
            pub mod http {
                pub mod v3 {
                    include!("envoy.extensions.upstreams.http.v3.rs");
                }
            }
        }
    }
    pub mod r#type {
        pub mod matcher {
            pub mod v3 {
                include!("envoy.r#type.matcher.v3.rs");
            }
        }
        pub mod v3 {
            include!("envoy.r#type.v3.rs");
        }
    }
    pub mod service {
        pub mod discovery {
            pub mod v3 {
                include!("envoy.service.discovery.v3.rs");
            }
        }
    }
}
