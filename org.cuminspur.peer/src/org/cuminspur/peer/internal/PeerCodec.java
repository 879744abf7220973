package org.cuminspur.peer.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cuminspur.control.Target;
import org.cuminspur.control.message.PeerMessage;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.FailureDomainId;
import org.cuminspur.id.InstanceId;
import org.cuminspur.id.Revision;
import org.cuminspur.id.UpstreamId;
import org.cuminspur.peer.internal.generated.AccountShares;
import org.cuminspur.peer.internal.generated.AccountUsage;
import org.cuminspur.peer.internal.generated.ConfigDelta;
import org.cuminspur.peer.internal.generated.ConfigFile;
import org.cuminspur.peer.internal.generated.ConfigRequest;
import org.cuminspur.peer.internal.generated.Digest;
import org.cuminspur.peer.internal.generated.Order;
import org.cuminspur.peer.internal.generated.Orders;
import org.cuminspur.peer.internal.generated.Payload;
import org.cuminspur.peer.internal.generated.Share;
import org.cuminspur.peer.internal.generated.UpstreamAlert;
import org.cuminspur.peer.internal.generated.UpstreamAlerts;
import org.cuminspur.peer.internal.generated.Usage;

/** Converts peer messages to and from protobuf; stateless and thread-safe. */
public final class PeerCodec {
    private PeerCodec() {}

    public static byte[] encode(PeerMessage message) {
        return payload(message).toByteArray();
    }

    /** Returns the message, or empty if the bytes are malformed or the kind of message is unknown. */
    public static Optional<PeerMessage> decode(byte[] bytes) {
        try {
            return Optional.ofNullable(message(Payload.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Payload payload(PeerMessage message) {
        Payload.Builder payload = Payload.newBuilder();
        if (message instanceof PeerMessage.Digest digest) {
            payload.setDigest(encode(digest));
        } else if (message instanceof PeerMessage.ConfigRequest request) {
            payload.setConfigRequest(
                    ConfigRequest.newBuilder().setHave(request.have().value()));
        } else if (message instanceof PeerMessage.ConfigDelta delta) {
            payload.setConfigDelta(encode(delta));
        } else if (message instanceof PeerMessage.Orders orders) {
            payload.setOrders(encode(orders));
        } else if (message instanceof PeerMessage.UpstreamAlerts alerts) {
            payload.setUpstreamAlerts(encode(alerts));
        } else if (message instanceof PeerMessage.AccountUsage usage) {
            payload.setAccountUsage(encode(usage));
        } else if (message instanceof PeerMessage.AccountShares shares) {
            payload.setAccountShares(encode(shares));
        }
        return payload.build();
    }

    private static PeerMessage message(Payload payload) {
        return switch (payload.getKindCase()) {
            case DIGEST -> decode(payload.getDigest());
            case CONFIG_REQUEST ->
                new PeerMessage.ConfigRequest(
                        new Revision(payload.getConfigRequest().getHave()));
            case CONFIG_DELTA -> decode(payload.getConfigDelta());
            case ORDERS -> decode(payload.getOrders());
            case UPSTREAM_ALERTS -> decode(payload.getUpstreamAlerts());
            case ACCOUNT_USAGE -> decode(payload.getAccountUsage());
            case ACCOUNT_SHARES -> decode(payload.getAccountShares());
            case KIND_NOT_SET -> null;
        };
    }

    private static Digest encode(PeerMessage.Digest digest) {
        return Digest.newBuilder()
                .setDomain(digest.domain().value())
                .setConfig(digest.config().value())
                .setOrders(digest.orders())
                .setStopping(digest.stopping())
                .setReply(digest.reply())
                .setStoreAgeMillis(digest.storeAgeMillis())
                .addAllLost(digest.lost().stream().map(InstanceId::value).toList())
                .build();
    }

    private static PeerMessage decode(Digest digest) {
        return new PeerMessage.Digest(
                new FailureDomainId(digest.getDomain()),
                new Revision(digest.getConfig()),
                digest.getOrders(),
                digest.getStopping(),
                digest.getReply(),
                digest.getStoreAgeMillis(),
                digest.getLostList().stream().map(InstanceId::new).toList());
    }

    private static ConfigDelta encode(PeerMessage.ConfigDelta delta) {
        ConfigDelta.Builder builder = ConfigDelta.newBuilder()
                .setBase(delta.base().value())
                .setRevision(delta.revision().value())
                .setPublication(delta.publication())
                .addAllRemoved(delta.removed())
                .setFiles(delta.files());
        delta.changed()
                .forEach((name, file) -> builder.addChanged(ConfigFile.newBuilder()
                        .setName(name)
                        .setRevision(file.revision().value())
                        .setText(file.text())));
        return builder.build();
    }

    private static PeerMessage decode(ConfigDelta delta) {
        Map<String, org.cuminspur.config.ConfigFile> changed = delta.getChangedList().stream()
                .collect(Collectors.toMap(
                        ConfigFile::getName,
                        file -> new org.cuminspur.config.ConfigFile(new Revision(file.getRevision()), file.getText()),
                        (a, b) -> b));
        return new PeerMessage.ConfigDelta(
                new Revision(delta.getBase()),
                new Revision(delta.getRevision()),
                delta.getPublication(),
                changed,
                delta.getRemovedList(),
                delta.getFiles());
    }

    private static Orders encode(PeerMessage.Orders orders) {
        Orders.Builder builder = Orders.newBuilder().setReply(orders.reply());
        orders.orders()
                .forEach(order -> builder.addOrders(Order.newBuilder()
                        .setTarget(order.target().label())
                        .setGeneration(order.generation())
                        .setOut(order.out())
                        .setBy(order.by())));
        return builder.build();
    }

    private static PeerMessage decode(Orders orders) {
        return new PeerMessage.Orders(
                orders.getOrdersList().stream().map(PeerCodec::decode).toList(), orders.getReply());
    }

    private static org.cuminspur.control.Order decode(Order order) {
        Target target = Target.parse(order.getTarget())
                .getOrElseThrow(() -> new IllegalArgumentException("not a target: " + order.getTarget()));
        return new org.cuminspur.control.Order(target, order.getGeneration(), order.getOut(), order.getBy());
    }

    private static UpstreamAlerts encode(PeerMessage.UpstreamAlerts alerts) {
        UpstreamAlerts.Builder builder = UpstreamAlerts.newBuilder().setHops(alerts.hops());
        alerts.alerts()
                .forEach(alert -> builder.addAlerts(UpstreamAlert.newBuilder()
                        .setUpstream(alert.upstream().value())
                        .setKind(UpstreamAlert.Kind.valueOf(alert.kind().name()))
                        .setIncarnation(alert.incarnation())
                        .setObservedMillis(alert.observedMillis())
                        .setLoad(alert.load())));
        return builder.build();
    }

    private static PeerMessage decode(UpstreamAlerts alerts) {
        List<PeerMessage.UpstreamAlert> list = alerts.getAlertsList().stream()
                .map(alert -> new PeerMessage.UpstreamAlert(
                        new UpstreamId(alert.getUpstream()),
                        PeerMessage.UpstreamAlert.Kind.valueOf(alert.getKind().name()),
                        alert.getIncarnation(),
                        alert.getObservedMillis(),
                        alert.getLoad()))
                .toList();
        return new PeerMessage.UpstreamAlerts(list, alerts.getHops());
    }

    private static AccountUsage encode(PeerMessage.AccountUsage usage) {
        AccountUsage.Builder builder = AccountUsage.newBuilder();
        usage.usages()
                .forEach(one -> builder.addUsages(Usage.newBuilder()
                        .setAccount(one.account().value())
                        .setRequestsPerSecond(one.requestsPerSecond())
                        .setConcurrent(one.concurrent())));
        return builder.build();
    }

    private static PeerMessage decode(AccountUsage usage) {
        return new PeerMessage.AccountUsage(usage.getUsagesList().stream()
                .map(one -> new PeerMessage.Usage(
                        new AccountId(one.getAccount()), one.getRequestsPerSecond(), one.getConcurrent()))
                .toList());
    }

    private static AccountShares encode(PeerMessage.AccountShares shares) {
        AccountShares.Builder builder = AccountShares.newBuilder();
        shares.shares()
                .forEach(share -> builder.addShares(Share.newBuilder()
                        .setAccount(share.account().value())
                        .setRequestsPerSecond(share.requestsPerSecond())
                        .setConcurrent(share.concurrent())
                        .setTtlMillis(share.ttlMillis())));
        return builder.build();
    }

    private static PeerMessage decode(AccountShares shares) {
        return new PeerMessage.AccountShares(shares.getSharesList().stream()
                .map(share -> new PeerMessage.Share(
                        new AccountId(share.getAccount()),
                        share.getRequestsPerSecond(),
                        share.getConcurrent(),
                        share.getTtlMillis()))
                .toList());
    }
}
