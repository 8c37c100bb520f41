package martenslip.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.Skill;
import martenslip.control.Contact;
import martenslip.control.Span;
import martenslip.signaling.ExtensionHeaders;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.Digits;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Request;
import martenslip.sip.message.SipUri;

/** An INVITE as the module's contact; see docs/sip-mapping.md. */
final class InviteReader {
    /** What the INVITE says, or the answer to one that names no contact. */
    record Result(Contact contact, String number, int status, String reason) {
        static Result refused(int status, String reason) {
            return new Result(null, "", status, reason);
        }
    }

    private final ExchangeConfiguration site;
    private final Map<String, ExchangeConfiguration.Group> groups = new HashMap<>();

    InviteReader(ExchangeConfiguration site) {
        this.site = site;
        site.groups().values().forEach(group -> groups.put(group.name(), group));
    }

    /** {@code id} is asked for a number once the INVITE proves to name a contact. */
    Result read(UasCall call, LongSupplier id) {
        Request invite = call.invite();
        try {
            String number = invite.parsedUri().unescapedUser();
            if (!Digits.isTelephoneNumber(number)) {
                return Result.refused(484, "The number is incomplete or none");
            }
            int destination = site.numbering().exchangeForNumber(number);
            if (destination < 0) {
                return Result.refused(404, "No exchange has this number");
            }
            int from = cameFrom(invite);
            if (destination == site.number()) {
                return from < 0
                        ? Result.refused(404, "The number ends at this exchange")
                        : Result.refused(482, "In transit to where it is");
            }
            int skill = skill(invite);
            Skill is = site.skills().get(skill);
            Span patience = patience(invite).atMost(is.patience());
            String again = invite.headers().first(ExtensionHeaders.RETRY_KIND);
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
            return new Result(contact, number, 0, "");
        } catch (InvalidValueException e) {
            return Result.refused(400, e.getMessage());
        }
    }

    /** The exchange at the far end of the trunk group that the Contact names (RFC 4904 5), -1 for an own caller. */
    private int cameFrom(Request invite) throws InvalidValueException {
        String value = invite.headers().first("Contact");
        if (value == null) {
            return -1;
        }
        SipUri uri = SipUri.parse(NameAddr.parse(value).uri());
        if (!site.trunkContext().equals(uri.userParameter("trunk-context"))) {
            return -1;
        }
        String name = uri.userParameter("tgrp");
        ExchangeConfiguration.Group group = name == null ? null : groups.get(name);
        return group == null ? -1 : group.farExchange();
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
        return site.defaultSkill();
    }

    private Span patience(Request invite) throws InvalidValueException {
        String exact = invite.headers().first(ExtensionHeaders.PATIENCE);
        String seconds = invite.headers().first("Expires");
        if (exact != null) {
            if (!Digits.isDigits(exact, 9)) {
                throw new InvalidValueException(ExtensionHeaders.PATIENCE + " is no number of milliseconds: " + exact);
            }
            return Span.ofMillis(Integer.parseInt(exact));
        }
        return seconds == null ? new Span(Long.MAX_VALUE) : Span.ofMillis(Long.parseLong(seconds) * 1000.0);
    }
}
