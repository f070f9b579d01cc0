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
 * What an entry side uses to serve calls to one service.
 *
 * <p>Immutable but for the budgets and counts, which outlive a change of configuration. Safe for
 * use by several threads.
 *
 * @param spec the service
 * @param servers servers that may take calls
 * @param keyOwners members that may be owners of keys
 * @param picker picks servers
 * @param retryBudget limits retries
 * @param probes limits probes
 * @param counts counts calls
 */
public record ServiceView(
    ServiceSpec spec,
    List<Server> servers,
    KeyOwners keyOwners,
    Picker picker,
    RetryBudget retryBudget,
    ProbePlanner probes,
    CallCounts counts) {

  /** Copies the servers. */
  public ServiceView {
    servers = List.copyOf(servers);
  }
}
