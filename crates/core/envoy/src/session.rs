//! The subscriber on the ADS stream: it subscribes to the resources that the catalogue wants and applies the responses to
//! the catalogue.

use crate::catalogue::Catalogue;
use crate::common::Source;
use crate::resource::{decode, Resource};
use crate::wire::Notes;
use rushquay_xds::client::{Backoff, Client, ClientRequest, Ended, Retry, ServerAnswer, Session, Taken};
use rushquay_xds::server::Variant;
use rushquay_xds::{Kind, Nanos};
use std::cell::RefCell;
use std::rc::Rc;

/// An ADS session on a shared catalogue.
pub struct Ads {
    client: Client,
    catalogue: Rc<RefCell<Catalogue>>,
    now: Box<dyn Fn() -> Nanos>,
}

impl Ads {
    /// Creates a session for this number of server addresses. With `sotw` only the state-of-the-world variant is used.
    /// `backoff` is the initial and the maximum wait between connection attempts, in nanoseconds. At most `max_resources`
    /// resources of a kind are kept.
    pub fn new(
        addresses: usize,
        sotw: bool,
        backoff: (Nanos, Nanos),
        max_resources: usize,
        catalogue: Rc<RefCell<Catalogue>>,
        now: impl Fn() -> Nanos + 'static,
    ) -> Self {
        let mut client = Client::new(addresses, Backoff::new(backoff.0, backoff.1), max_resources);
        if sotw {
            client.speak_sotw();
        }
        Ads { client, catalogue, now: Box::new(now) }
    }

    fn update_subscriptions(&mut self) -> Vec<ClientRequest> {
        let catalogue = self.catalogue.borrow();
        let wanted = Kind::ORDER.map(|kind| (kind, catalogue.wanted(kind)));
        drop(catalogue);
        wanted.into_iter().filter_map(|(kind, names)| self.client.want(kind, names).0).collect()
    }
}

impl Session for Ads {
    /// The kind of the resources that were updated.
    type News = Kind;

    fn address(&self) -> usize {
        self.client.address()
    }

    fn variant(&self) -> Variant {
        self.client.variant()
    }

    fn connected(&mut self) -> Vec<ClientRequest> {
        let _ = self.update_subscriptions();
        self.client.connected()
    }

    fn woken(&mut self) -> Vec<ClientRequest> {
        self.update_subscriptions()
    }

    fn answer(&mut self, answer: ServerAnswer) -> Taken<Kind> {
        let mut notes = Notes::default();
        let whole = self.client.variant() == Variant::Sotw;
        let version = answer.version.clone();
        let reply = self.client.answer(answer, |kind, received| {
            let decoded = decode(kind, &received.body, &mut notes);
            let (name, item) = decoded.map_err(|e| e.to_string())?;
            let name = received.name.clone().unwrap_or(name);
            let version =
                if received.version.is_empty() { version.clone() } else { received.version.clone() };
            let resource = Resource { name: name.clone(), version, item, encoded: received.body.clone() };
            Ok((name, resource))
        });
        let mut asks: Vec<ClientRequest> = reply.ask.into_iter().collect();
        if let Some(why) = &reply.refused {
            let kind = asks.first().and_then(|a| match a {
                ClientRequest::Delta(r) => Kind::of(&r.type_url),
                ClientRequest::Sotw(r) => Kind::of(&r.type_url),
            });
            if let Some(kind) = kind {
                self.catalogue.borrow_mut().record_rejection(kind, why.clone());
            }
        }
        let news = reply.update.map(|update| {
            let resources = update.upserts.into_iter().map(|(_, r)| r).collect();
            let kind = update.kind;
            let now = (self.now)();
            self.catalogue.borrow_mut().apply(&Source::Ads, kind, resources, &update.removed, whole, now);
            kind
        });
        asks.extend(self.update_subscriptions());
        Taken { asks, news, refused: reply.refused, leave: None }
    }

    fn ended(&mut self, how: Ended, random: f64) -> Retry {
        self.client.ended(how, random)
    }
}
