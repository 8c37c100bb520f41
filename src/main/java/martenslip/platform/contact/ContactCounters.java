package martenslip.platform.contact;

import java.util.Map;
import java.util.TreeMap;
import martenslip.control.RejectionReason;
import martenslip.control.RingEndCause;

/** Counts the contacts of a contact table since its start. Belongs to the decision thread. */
public final class ContactCounters {
    long taken;
    long established;
    long inherited;
    /** Contacts named by callers that gave way to others. */
    long namedGivenUp;

    long deferred;
    long abandoned;
    long callerGone;
    long refusedWithoutOffer;
    /** Set-ups for which the open contacts left no memory. */
    long refusedForMemory;
    /** Set-ups under an id that is open, established or was forwarded before; counted as refused too. */
    long repeatedIds;

    long rings;
    /** Releases by a switch of contacts that were not known. */
    long earlyReleases;
    /** BYEs of callers for contacts that were not known. */
    long earlyByes;
    /** Contacts that were over when a caller named them as established. */
    long overWhenNamed;

    /** Releases sent to callers, each counted once. */
    long releases;

    long releasesAcknowledged;
    /** Releases that no caller acknowledged in time, or that gave way to newer ones. */
    long releasesGivenUp;

    private final Map<String, Long> endsByCause = new TreeMap<>();

    /** Counts the end of a ring by its cause and, where there is one, the reason of its rejection. */
    void countRingEnd(RingEndCause cause, RejectionReason rejectionReason) {
        endsByCause.merge(
                rejectionReason == RejectionReason.NONE ? cause.name() : cause + "/" + rejectionReason, 1L, Long::sum);
    }

    /** The counts as the operators' log has them; the names are part of its format. */
    @Override
    public String toString() {
        return "taken=" + taken + " stood=" + established + " inherited=" + inherited + " named-given-up="
                + namedGivenUp + " deferred=" + deferred
                + " abandoned=" + abandoned + " caller-gone=" + callerGone + " refused-unseen=" + refusedWithoutOffer
                + " repeated-ids=" + repeatedIds + " refused-memory=" + refusedForMemory + " rings=" + rings + " ends="
                + endsByCause
                + " early-releases=" + earlyReleases + " early-byes=" + earlyByes + " over-when-named=" + overWhenNamed
                + " releases=" + releases + " releases-heard=" + releasesAcknowledged + " releases-given-up="
                + releasesGivenUp;
    }
}
