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

/** Writes the INVITE of a ring, and what its responses bring for the caller (docs/sip-mapping.md). */
final class RingInviteBuilder {
    private final ExchangeConfiguration site;
    private final DialogLayer calls;

    RingInviteBuilder(ExchangeConfiguration site, DialogLayer calls) {
        this.site = site;
        this.calls = calls;
    }

    Request build(AcceptedContact taken, ListedSwitch to, ExchangeConfiguration.Group group, Span limit) {
        Request caller = taken.caller.invite();
        String trunk = group == null ? "" : ";tgrp=" + group.name() + ";trunk-context=" + site.trunkContext();
        HostPort at = to.uri().hostPort();
        SipUri uri = SipUri.of(taken.number + trunk, at.host(), at.port());
        if (to.hop().isReliable()) {
            uri = uri.with("transport", "tcp");
        }
        Headers in = caller.headers();
        Headers headers = new Headers();
        headers.add("Max-Forwards", forwards(in.first("Max-Forwards")));
        headers.add(
                "From",
                "<sip:exchange-" + site.number() + "@" + at.host() + ">;tag="
                        + calls.idGenerator().nextTag());
        headers.add("To", "<sip:" + taken.number + "@" + at.host() + ">");
        headers.add("Call-ID", calls.idGenerator().nextCallId("x" + site.number()))
                .add("CSeq", "1 INVITE");
        String contact = calls.contactHeader(to.hop().protocol(), taken.number + trunk);
        headers.add("Contact", contact);
        headers.add("Expires", Math.max(1, (limit.ns() + 999_999_999) / 1_000_000_000));
        headers.add(ExtensionHeaders.PATIENCE, limit.ns() / 1_000_000);
        for (String name : new String[] {"Session-ID", "Resource-Priority", ExtensionHeaders.RETRY_KIND}) {
            headers.copyFrom(in, name);
        }
        Request invite = new Request("INVITE", uri.toString(), headers);
        invite.body(in.first("Content-Type"), caller.body());
        return invite;
    }

    private static int forwards(String stated) {
        return stated == null ? 70 : Math.max(0, Integer.parseInt(stated) - 1);
    }

    /** The same status for the caller's leg, with the body. */
    Response passedOn(AcceptedContact taken, Response response) {
        Response passed = taken.caller.response(response.status(), response.reason());
        passed.body(response.headers().first("Content-Type"), response.body());
        return passed;
    }
}
