package martenslip.exchange;

import martenslip.control.Span;
import martenslip.provision.Site;
import martenslip.signal.Fields;
import martenslip.signal.Neighbour;
import martenslip.sip.dialog.Calls;
import martenslip.sip.message.Headers;
import martenslip.sip.message.HostPort;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;

/** Writes the INVITE of a ring, and what its responses bring for the caller (docs/sip-mapping.md). */
final class RingInvite {
    private final Site site;
    private final Calls calls;

    RingInvite(Site site, Calls calls) {
        this.site = site;
        this.calls = calls;
    }

    Request build(Taken taken, Neighbour to, Site.Group group, Span limit) {
        Request caller = taken.caller.invite();
        String trunk = group == null ? "" : ";tgrp=" + group.name() + ";trunk-context=" + site.trunkContext();
        HostPort at = to.uri().at();
        SipUri uri = SipUri.of(taken.number + trunk, at.host(), at.port());
        if (to.hop().reliable()) {
            uri = uri.with("transport", "tcp");
        }
        Headers in = caller.headers();
        Headers headers = new Headers();
        headers.add("Max-Forwards", forwards(in.first("Max-Forwards")));
        headers.add(
                "From",
                "<sip:exchange-" + site.number() + "@" + at.host() + ">;tag="
                        + calls.branches().tag());
        headers.add("To", "<sip:" + taken.number + "@" + at.host() + ">");
        headers.add("Call-ID", calls.branches().callId("x" + site.number())).add("CSeq", "1 INVITE");
        String contact = calls.contact(to.hop().kind(), taken.number + trunk);
        headers.add("Contact", contact);
        headers.add("Expires", Math.max(1, (limit.ns() + 999_999_999) / 1_000_000_000));
        headers.add(Fields.PATIENCE, limit.ns() / 1_000_000);
        for (String name : new String[] {"Session-ID", "Resource-Priority", Fields.AGAIN}) {
            headers.take(in, name);
        }
        Request invite = new Request("INVITE", uri.toString(), headers);
        invite.body(in.first("Content-Type"), caller.body());
        return invite;
    }

    private static int forwards(String stated) {
        return stated == null ? 70 : Math.max(0, Integer.parseInt(stated) - 1);
    }

    /** The same status for the caller's leg, with the body. */
    Response passedOn(Taken taken, Response response) {
        Response passed = taken.caller.response(response.status(), response.reason());
        passed.body(response.headers().first("Content-Type"), response.body());
        return passed;
    }
}
