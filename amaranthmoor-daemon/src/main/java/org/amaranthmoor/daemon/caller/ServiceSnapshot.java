package org.amaranthmoor.daemon.caller;

import java.util.List;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.ProbePlanner;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.report.CallCounts;
import org.amaranthmoor.target.Homes;

/**
 * What an entry side uses to serve calls to one service.
 *
 * <p>Immutable but for the budgets and counts, which outlive a change of configuration. Safe for
 * use by several threads.
 *
 * @param spec the service
 * @param servers servers that may take calls
 * @param homes members that may be homes of keys
 * @param picker picks servers
 * @param retryBudget limits retries
 * @param probes limits probes
 * @param counts counts calls
 */
public record ServiceSnapshot(
    ServiceSpec spec,
    List<Server> servers,
    Homes homes,
    Picker picker,
    RetryBudget retryBudget,
    ProbePlanner probes,
    CallCounts counts) {

  /** Copies the servers. */
  public ServiceSnapshot {
    servers = List.copyOf(servers);
  }
}
