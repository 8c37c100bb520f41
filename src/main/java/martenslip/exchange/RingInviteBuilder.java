package martenslip.exchange;

import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Span;
import martenslip.signaling.ExtensionHeaders;
import martenslip.signaling.ListedSwitch;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.message.Headers;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;

/** Builds the INVITE of a ring, and the responses to the caller from those to the ring; see docs/sip-mapping.md. */
final class RingInviteBuilder {
    private final ExchangeConfiguration configuration;
    private final DialogLayer dialogLayer;

    RingInviteBuilder(ExchangeConfiguration configuration, DialogLayer dialogLayer) {
        this.configuration = configuration;
        this.dialogLayer = dialogLayer;
    }

    /** The INVITE to a switch; {@code group} is null without a trunk group. */
    Request build(
            AcceptedContact acceptedContact,
            ListedSwitch listedSwitch,
            ExchangeConfiguration.Group group,
            Span timeLimit) {
        Request callerInvite = acceptedContact.caller.invite();
        String trunkParameters =
                group == null ? "" : ";tgrp=" + group.name() + ";trunk-context=" + configuration.trunkContext();
        HostPort hostPort = listedSwitch.uri().hostPort();
        SipUri uri = SipUri.of(acceptedContact.calledNumber + trunkParameters, hostPort.host(), hostPort.port());
        if (listedSwitch.hop().isReliable()) {
            uri = uri.with("transport", "tcp");
        }
        Headers callerHeaders = callerInvite.headers();
        Headers headers = new Headers();
        headers.add("Max-Forwards", decrementedMaxForwards(callerHeaders.first("Max-Forwards")));
        headers.add(
                "From",
                "<sip:exchange-" + configuration.number() + "@" + hostPort.host() + ">;tag="
                        + dialogLayer.idGenerator().nextTag());
        headers.add("To", "<sip:" + acceptedContact.calledNumber + "@" + hostPort.host() + ">");
        headers.add("Call-ID", dialogLayer.idGenerator().nextCallId("x" + configuration.number()))
                .add("CSeq", "1 INVITE");
        String contactHeader = dialogLayer.contactHeader(
                listedSwitch.hop().protocol(), acceptedContact.calledNumber + trunkParameters);
        headers.add("Contact", contactHeader);
        headers.add("Expires", Math.max(1, (timeLimit.ns() + 999_999_999) / 1_000_000_000));
        headers.add(ExtensionHeaders.PATIENCE, timeLimit.ns() / 1_000_000);
        for (String name : new String[] {"Session-ID", "Resource-Priority", ExtensionHeaders.RETRY_KIND}) {
            headers.copyFrom(callerHeaders, name);
        }
        Request invite = new Request("INVITE", uri.toString(), headers);
        invite.body(callerHeaders.first("Content-Type"), callerInvite.body());
        return invite;
    }

    private static int decrementedMaxForwards(String maxForwards) {
        return maxForwards == null ? 70 : Math.max(0, Integer.parseInt(maxForwards) - 1);
    }

    /** A response with the same status, reason phrase and body for the caller leg. */
    Response toCallerResponse(AcceptedContact acceptedContact, Response response) {
        Response callerResponse = acceptedContact.caller.response(response.status(), response.reason());
        callerResponse.body(response.headers().first("Content-Type"), response.body());
        return callerResponse;
    }
}
