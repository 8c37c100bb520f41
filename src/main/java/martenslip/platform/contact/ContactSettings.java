package martenslip.platform.contact;

import java.util.List;
import martenslip.control.Span;

/**
 * What the settings say that is no matter of decisions: names of skills in the order of their numbers, the most open
 * contacts, the longest patience of any skill, how late a final answer is still one.
 */
public record ContactSettings(List<String> skills, int maxOpen, Span maxPatience, Span answerSlack) {}
