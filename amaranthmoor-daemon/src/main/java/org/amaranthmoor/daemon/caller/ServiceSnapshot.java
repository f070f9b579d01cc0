package org.amaranthmoor.daemon.caller;

import java.util.List;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.ProbePlanner;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.report.CallCounts;
import org.amaranthmoor.target.KeyOwners;

/**
 * State from which an entry side serves calls to one service.
 *
 * <p>Immutable except for the budgets and counts, which are kept across changes of the
 * configuration. Safe for use by several threads.
 *
 * @param spec the service
 * @param servers servers that may receive calls
 * @param keyOwners members that may be owners of idempotency keys
 * @param picker picks servers
 * @param retryBudget limits retries
 * @param probes plans probes within their budget
 * @param counts counts calls
 */
public record ServiceSnapshot(
    ServiceSpec spec,
    List<Server> servers,
    KeyOwners keyOwners,
    Picker picker,
    RetryBudget retryBudget,
    ProbePlanner probes,
    CallCounts counts) {

  /** Copies the servers. */
  public ServiceSnapshot {
    servers = List.copyOf(servers);
  }
}
