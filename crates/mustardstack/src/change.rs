//! `drain`, `undrain`, `order`, `replace-voter` and `confirm-dead`: changes that are not part of the configuration.

use conf::Name;
use conf::admin::{
    ChangeReply, ConfirmDeadRequest, DrainTarget, OrderRequest, ReplaceVoterRequest,
};
use serde::Serialize;

use crate::cli::{ConfirmDead, Drain, Order, ReplaceVoter, Undrain};
use crate::client::Client;
use crate::error::Error;
use crate::terminal::{confirm, print};

/// Drains an instance or an upstream, so that it receives no new requests.
pub async fn drain(options: &Drain) -> Result<(), Error> {
    let target = drain_target(options.instance.as_ref(), options.upstream.as_ref())?;
    let client = Client::new(options.admin, &options.token_file)?;
    let name = target_name(&target);
    let consequence =
        format!("{name} will receive no new requests and will finish its open requests.");
    confirm(&consequence, options.yes)?;
    send_change(&client, "/admin/drain", &target).await?;
    print(format!("{name} is draining"));
    Ok(())
}

/// Ends the draining of an instance or an upstream, so that it receives new requests.
pub async fn undrain(options: &Undrain) -> Result<(), Error> {
    let target = drain_target(options.instance.as_ref(), options.upstream.as_ref())?;
    let client = Client::new(options.admin, &options.token_file)?;
    send_change(&client, "/admin/undrain", &target).await?;
    print(format!("{} receives new requests", target_name(&target)));
    Ok(())
}

/// Orders an engine to change its role, or to load or unload a model or adapter.
pub async fn order(options: &Order) -> Result<(), Error> {
    let order = OrderRequest {
        upstream: Name::new(&options.upstream),
        role: options.role,
        load: options.load.as_ref().map(Name::new),
        unload: options.unload.as_ref().map(Name::new),
    };
    if order.role.is_none() && order.load.is_none() && order.unload.is_none() {
        let message = "give at least one of --role, --load and --unload";
        return Err(Error::Usage(message.to_owned()));
    }
    let client = Client::new(options.admin, &options.token_file)?;
    let consequence = format!(
        "upstream {} will {}. It may refuse requests while it carries out the order.",
        order.upstream,
        order_steps(&order).join(", ")
    );
    confirm(&consequence, options.yes)?;
    send_change(&client, "/admin/order", &order).await?;
    print(format!(
        "the order to upstream {} is committed",
        order.upstream
    ));
    Ok(())
}

/// Replaces the voter of one instance by a voter on another instance.
pub async fn replace_voter(options: &ReplaceVoter) -> Result<(), Error> {
    let client = Client::new(options.admin, &options.token_file)?;
    let (old, new) = (Name::new(&options.old), Name::new(&options.new));
    let consequence = format!(
        "{new} joins as a learner and becomes a voter after it has caught up; {old} is then removed."
    );
    confirm(&consequence, options.yes)?;
    let body = ReplaceVoterRequest { old, new };
    send_change(&client, "/admin/voters", &body).await?;
    print(format!("{} will replace {} as a voter", body.new, body.old));
    Ok(())
}

/// Confirms that the process of an instance has ended, so that its order gates can move to other instances.
pub async fn confirm_dead(options: &ConfirmDead) -> Result<(), Error> {
    let client = Client::new(options.admin, &options.token_file)?;
    let instance = Name::new(&options.instance);
    let consequence = format!(
        "Other instances will take over the order gates of {instance} at once. If its process \
         still runs, an engine that ignores fencing numbers may receive orders from two instances."
    );
    confirm(&consequence, options.yes)?;
    let body = ConfirmDeadRequest { instance };
    send_change(&client, "/admin/confirm-dead", &body).await?;
    print(format!("{} is recorded as dead", body.instance));
    Ok(())
}

async fn send_change<B: Serialize>(client: &Client, path: &str, body: &B) -> Result<(), Error> {
    match client.post(path, body).await? {
        ChangeReply::Accepted => Ok(()),
        ChangeReply::Refused { message } => Err(Error::Refused(message.to_string())),
        ChangeReply::Unavailable { message } => Err(Error::Unavailable(format!(
            "no majority: {message}; it is safe to send the request again"
        ))),
    }
}

fn drain_target(
    instance: Option<&String>,
    upstream: Option<&String>,
) -> Result<DrainTarget, Error> {
    match (instance, upstream) {
        (Some(instance), None) => Ok(DrainTarget::Instance(Name::new(instance))),
        (None, Some(upstream)) => Ok(DrainTarget::Upstream(Name::new(upstream))),
        _ => Err(Error::Usage(
            "give either --instance or --upstream".to_owned(),
        )),
    }
}

fn target_name(target: &DrainTarget) -> String {
    match target {
        DrainTarget::Instance(id) => format!("instance {id}"),
        DrainTarget::Upstream(name) => format!("upstream {name}"),
    }
}

fn order_steps(order: &OrderRequest) -> Vec<String> {
    let role = order.role.map(|role| match role {
        conf::Role::Prefill => "change its role to prefill".to_owned(),
        conf::Role::Decode => "change its role to decode".to_owned(),
        conf::Role::Mixed => "change its role to mixed".to_owned(),
    });
    let load = order.load.as_ref().map(|name| format!("load {name}"));
    let unload = order.unload.as_ref().map(|name| format!("unload {name}"));
    [role, load, unload].into_iter().flatten().collect()
}
