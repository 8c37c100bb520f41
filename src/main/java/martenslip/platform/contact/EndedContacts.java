package martenslip.platform.contact;

import java.util.function.BiConsumer;
import martenslip.control.Moment;
import martenslip.control.Span;

/**
 * The ends of contacts that somebody may still have to be told of. Messages of one contact come on any connection and so
 * in any order: after a restart a switch's release or a caller's BYE may arrive before the caller has named the contact,
 * and a caller may name a contact that has ended meanwhile. An end is therefore kept, whether or not the contact is
 * known, and whoever takes over a contact looks for its end here first.
 *
 * <p>Three bounded tables, as the sources differ in trust: early BYEs of misbehaving callers displace no switch's
 * release. An end that leaves without having been claimed is reported to the listener. Without I/O, threads or clock;
 * belongs to the decision thread.
 */
final class EndedContacts {
    /** Callers name their contacts some seconds after a restart; a caller may itself be cut off for a while. */
    static final Span UNCLAIMED_LIFETIME = Span.ofMillis(120_000);

    /** Longer than a cut of 6 s after which duplicates of messages arrive. */
    static final Span SETTLED_LIFETIME = Span.ofMillis(20_000);

    static final int MAX_EARLY_RELEASES = 4096;
    static final int MAX_EARLY_BYES = 1024;
    static final int MAX_SETTLED = 4096;

    /** A switch's release of a contact that this controller does not know. */
    record EarlyRelease(long switchId, long switchConnectionId, int q850Cause) {}

    /** A caller's BYE for a contact that this controller does not know. */
    record EarlyBye(int q850Cause) {}

    /**
     * A contact that ended while it was known.
     *
     * @param wasEstablished false if no switch had answered it
     * @param q850Cause the cause to tell a caller that still names it
     */
    record SettledEnd(boolean wasEstablished, int q850Cause) {}

    private final ExpiringTagMap<EarlyRelease> earlyReleases;
    private final ExpiringTagMap<EarlyBye> earlyByes;
    private final ExpiringTagMap<SettledEnd> settledEnds;

    /** {@code unclaimedListener} is called with the tag and the end of each one that is given up. */
    EndedContacts(BiConsumer<String, Record> unclaimedListener) {
        earlyReleases = new ExpiringTagMap<>(MAX_EARLY_RELEASES, UNCLAIMED_LIFETIME, unclaimedListener::accept);
        earlyByes = new ExpiringTagMap<>(MAX_EARLY_BYES, UNCLAIMED_LIFETIME, unclaimedListener::accept);
        settledEnds = new ExpiringTagMap<>(MAX_SETTLED, SETTLED_LIFETIME, (tag, end) -> {});
    }

    /** The number of early ends that no caller has claimed yet. */
    int unclaimedCount() {
        return earlyReleases.size() + earlyByes.size();
    }

    /** A switch has released a contact that is not known here. */
    void releasedBySwitch(String tag, EarlyRelease release, Moment now) {
        earlyReleases.put(tag, release, now);
    }

    /** A switch's releases came from the process that now belongs to another switch. */
    void switchReplaced(long switchId, long newSwitchId) {
        earlyReleases.replaceAll(release -> release.switchId() == switchId
                ? new EarlyRelease(newSwitchId, release.switchConnectionId(), release.q850Cause())
                : release);
    }

    /** A caller has released a contact that is not known here. */
    void releasedByCaller(String tag, Moment now) {
        earlyByes.put(tag, new EarlyBye(EndCause.NORMAL_CLEARING), now);
    }

    /** A contact that was known here has ended. */
    void settled(String tag, SettledEnd end, Moment now) {
        settledEnds.put(tag, end, now);
    }

    /** Removes and returns a switch's release that came before its contact was named; null where none did. */
    EarlyRelease claimRelease(String tag, Moment now) {
        return earlyReleases.remove(tag, now);
    }

    /** Removes and returns a caller's BYE that came before its contact was named; null where none did. */
    EarlyBye claimBye(String tag, Moment now) {
        return earlyByes.remove(tag, now);
    }

    /** The end of a contact that was known here a short time ago; null where there is none. */
    SettledEnd settledEnd(String tag, Moment now) {
        return settledEnds.get(tag, now);
    }
}
