package martenslip.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import martenslip.control.Contact;
import martenslip.control.Span;
import martenslip.provision.Site;
import martenslip.provision.Skill;
import martenslip.signal.Fields;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.message.BadValue;
import martenslip.sip.message.Digits;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Request;
import martenslip.sip.message.SipUri;

/** An INVITE as the module's contact; see docs/sip-mapping.md. */
final class Incoming {
    /** What the INVITE says, or the answer to one that names no contact. */
    record Read(Contact contact, String number, int status, String reason) {
        static Read refused(int status, String reason) {
            return new Read(null, "", status, reason);
        }
    }

    private final Site site;
    private final Map<String, Site.Group> groups = new HashMap<>();

    Incoming(Site site) {
        this.site = site;
        site.groups().values().forEach(group -> groups.put(group.name(), group));
    }

    /** {@code id} is asked for a number once the INVITE proves to name a contact. */
    Read read(CallIn call, LongSupplier id) {
        Request invite = call.invite();
        try {
            String number = invite.target().plainUser();
            if (!Digits.telephone(number)) {
                return Read.refused(484, "The number is incomplete or none");
            }
            int destination = site.numbering().exchange(number);
            if (destination < 0) {
                return Read.refused(404, "No exchange has this number");
            }
            int from = cameFrom(invite);
            if (destination == site.number()) {
                return from < 0
                        ? Read.refused(404, "The number ends at this exchange")
                        : Read.refused(482, "In transit to where it is");
            }
            int skill = skill(invite);
            Skill is = site.skills().get(skill);
            Span patience = patience(invite).most(is.patience());
            String again = invite.headers().first(Fields.AGAIN);
            Contact contact = new Contact(
                    id.getAsLong(),
                    skill,
                    Long.parseLong(number),
                    destination,
                    from,
                    is.width(),
                    patience,
                    again != null,
                    from >= 0,
                    "cut".equals(again));
            return new Read(contact, number, 0, "");
        } catch (BadValue e) {
            return Read.refused(400, e.getMessage());
        }
    }

    /** The exchange at the far end of the trunk group that the Contact names (RFC 4904 5), -1 for an own caller. */
    private int cameFrom(Request invite) throws BadValue {
        String value = invite.headers().first("Contact");
        if (value == null) {
            return -1;
        }
        SipUri uri = SipUri.parse(NameAddr.parse(value).uri());
        if (!site.trunkContext().equals(uri.userParam("trunk-context"))) {
            return -1;
        }
        String name = uri.userParam("tgrp");
        Site.Group group = name == null ? null : groups.get(name);
        return group == null ? -1 : group.far();
    }

    /** A value that no skill bears is passed over (RFC 4412 4.6.2). */
    private int skill(Request invite) {
        for (String value : invite.headers().all("Resource-Priority")) {
            for (int i = 0; i < site.skills().size(); i++) {
                if (value.equalsIgnoreCase(site.skills().get(i).priority())) {
                    return i;
                }
            }
        }
        return site.usual();
    }

    private Span patience(Request invite) throws BadValue {
        String exact = invite.headers().first(Fields.PATIENCE);
        String seconds = invite.headers().first("Expires");
        if (exact != null) {
            if (!Digits.only(exact, 9)) {
                throw new BadValue(Fields.PATIENCE + " is no number of milliseconds: " + exact);
            }
            return Span.ofMillis(Integer.parseInt(exact));
        }
        return seconds == null ? new Span(Long.MAX_VALUE) : Span.ofMillis(Long.parseLong(seconds) * 1000.0);
    }
}
