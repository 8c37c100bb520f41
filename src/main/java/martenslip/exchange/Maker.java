package martenslip.exchange;

import java.util.Map;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.Orders;

/** Makes the module; the exchange knows it by its interface only. */
public interface Maker {
    Controller make(Map<String, String> settings, long seed, Moment now, Orders orders);
}
