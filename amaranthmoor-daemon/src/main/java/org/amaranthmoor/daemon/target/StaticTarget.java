package org.amaranthmoor.daemon.target;

import java.util.Optional;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;

/**
 * A target that is named in the settings and always considered available.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address the address of the target
 */
public record StaticTarget(Endpoint address) implements LocalTarget {

  @Override
  public Optional<ResultCode> refusalCode(
      ServiceName service, RuleName rule, boolean idempotent, long nowNanos) {
    return Optional.empty();
  }

  @Override
  public Optional<Destination> destination(ServiceName service, long nowNanos) {
    return Optional.of(new Destination(Optional.empty(), address));
  }

  @Override
  public void onExchangeEnd(RuleName rule, boolean failed, long nowNanos) {}

  @Override
  public void onTimeout(RuleName rule, long startNanos, long nowNanos) {}

  @Override
  public void onConnectionRefused(long nowNanos) {}

  @Override
  public void onReplaced(TargetRun run) {}

  @Override
  public void onNotice(TargetRun run, TargetNotice notice) {}

  @Override
  public void onLeaving(TargetRun run) {}

  @Override
  public boolean isLeaving(TargetRun run) {
    return false;
  }

  @Override
  public Optional<TargetRun> newestRun() {
    return Optional.empty();
  }
}
