package martenslip.control;

import java.util.Map;

/** Makes the module; programs know it by its interface only. */
public interface Maker {
    Controller make(Map<String, String> settings, long seed, Moment now, Orders orders);
}
