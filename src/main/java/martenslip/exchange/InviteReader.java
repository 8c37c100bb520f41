package martenslip.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.Skill;
import martenslip.control.Contact;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.signaling.ExtensionHeaders;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.message.Digits;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.NameAddr;
import martenslip.sip.message.Request;
import martenslip.sip.message.SipUri;

/** Reads an INVITE of a caller or a neighbouring exchange as a contact; see docs/sip-mapping.md. */
final class InviteReader {
    /** The contact, or the status and reason phrase for an INVITE that describes none. */
    record Result(Contact contact, String calledNumber, int status, String reason) {
        static Result refused(int status, String reason) {
            return new Result(null, "", status, reason);
        }
    }

    private final ExchangeConfiguration configuration;
    private final Map<String, ExchangeConfiguration.Group> groupsByName = new HashMap<>();

    InviteReader(ExchangeConfiguration configuration) {
        this.configuration = configuration;
        configuration.groups().values().forEach(group -> groupsByName.put(group.name(), group));
    }

    /**
     * Reads an INVITE that is handled at the given time. The caller's patience counts from its receipt. {@code
     * idSupplier} is asked for an id only once the INVITE is found to describe a contact.
     */
    Result read(UasCall call, Moment now, LongSupplier idSupplier) {
        Request invite = call.invite();
        try {
            String calledNumber = invite.parsedUri().unescapedUser();
            if (!Digits.isTelephoneNumber(calledNumber)) {
                return Result.refused(484, "The number is incomplete or none");
            }
            int destination = configuration.numbering().exchangeForNumber(calledNumber);
            if (destination < 0) {
                return Result.refused(404, "No exchange has this number");
            }
            int originExchange = originExchange(invite);
            if (destination == configuration.number()) {
                return originExchange < 0
                        ? Result.refused(404, "The number ends at this exchange")
                        : Result.refused(482, "In transit to where it is");
            }
            int skillIndex = skillIndex(invite);
            Skill configuredSkill = configuration.skills().get(skillIndex);
            Span waited = now.since(call.transaction().receivedAt()).atLeast(Span.ZERO);
            Span patience = patience(invite)
                    .atMost(configuredSkill.patience())
                    .minus(waited)
                    .atLeast(Span.ZERO);
            String retryKind = invite.headers().first(ExtensionHeaders.RETRY_KIND);
            Contact contact = new Contact(
                    idSupplier.getAsLong(),
                    skillIndex,
                    Long.parseLong(calledNumber),
                    destination,
                    originExchange,
                    configuredSkill.width(),
                    patience,
                    retryKind != null,
                    originExchange >= 0,
                    "cut".equals(retryKind));
            return new Result(contact, calledNumber, 0, "");
        } catch (InvalidValueException e) {
            return Result.refused(400, e.getMessage());
        }
    }

    /**
     * The exchange at the far end of the trunk group in the Contact header (RFC 4904 5), or -1 for a caller of this
     * exchange.
     */
    private int originExchange(Request invite) throws InvalidValueException {
        String value = invite.headers().first("Contact");
        if (value == null) {
            return -1;
        }
        SipUri uri = SipUri.parse(NameAddr.parse(value).uri());
        if (!configuration.trunkContext().equals(uri.userParameter("trunk-context"))) {
            return -1;
        }
        String name = uri.userParameter("tgrp");
        ExchangeConfiguration.Group group = name == null ? null : groupsByName.get(name);
        return group == null ? -1 : group.farExchange();
    }

    /**
     * The skill with the Resource-Priority value of the request. Values that no skill has are ignored (RFC 4412 4.6.2).
     */
    private int skillIndex(Request invite) {
        for (String value : invite.headers().all("Resource-Priority")) {
            for (int i = 0; i < configuration.skills().size(); i++) {
                if (value.equalsIgnoreCase(configuration.skills().get(i).priority())) {
                    return i;
                }
            }
        }
        return configuration.defaultSkill();
    }

    /** Time that the caller still waits, from Martenslip-Patience or else Expires; without both it is unlimited. */
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
