package martenslip.platform.contact;

import java.util.List;
import martenslip.control.Span;

/**
 * Settings of the contact table that do not concern routing decisions.
 *
 * @param skills the names of the skills, in the order of their numbers
 * @param maxOpen the most contacts that may wait for their final answer at once
 * @param maxPatience the longest patience of any skill
 * @param answerSlack how long after the caller's patience a final answer still counts
 */
public record ContactSettings(List<String> skills, int maxOpen, Span maxPatience, Span answerSlack) {}
