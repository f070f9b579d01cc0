package org.amaranthmoor.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.yaml.ParseResult;
import org.amaranthmoor.yaml.Problem;
import org.amaranthmoor.yaml.Section;
import org.amaranthmoor.yaml.YamlNode;
import org.amaranthmoor.yaml.YamlReader;

/**
 * Reads and validates the settings of a node.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class NodeSettingsReader {

  private static final String ADDRESS_FORMAT = "an IP address with a port, such as 127.0.0.1:8000";
  private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("0.0.0.0", 1);
  private static final String PLACEHOLDER_NAME = "unreadable";

  private NodeSettingsReader() {}

  /**
   * Reads settings.
   *
   * @param text the settings as YAML
   * @return the settings, or all problems with their lines and keys
   */
  public static ParseResult<NodeSettings> read(String text) {
    return switch (YamlReader.read(text)) {
      case ParseResult.Invalid<YamlNode.Mapping> invalid ->
          new ParseResult.Invalid<>(invalid.problems());
      case ParseResult.Valid<YamlNode.Mapping> valid -> read(valid.value());
    };
  }

  private static ParseResult<NodeSettings> read(YamlNode.Mapping root) {
    List<Problem> problems = new ArrayList<>();
    Section section = new Section(root, "", problems);
    NodeSettings settings =
        new NodeSettings(
            name(section, "node", NodeName::new),
            name(section, "zone", ZoneName::new),
            name(section, "region", RegionName::new),
            host(section),
            port(section, "caller-port"),
            port(section, "node-port"),
            port(section, "admin-port"),
            target(section),
            endpoint(section, "platform"),
            peers(section, problems),
            section.number("drain-limit-millis", 60_000, 0, 3_600_000),
            section.number("platform-retention-millis", 3_600_000, 1_000, 1_000_000_000));
    section.rejectUnknownKeys();
    rejectEqualPorts(section, settings);
    return problems.isEmpty()
        ? new ParseResult.Valid<>(settings)
        : new ParseResult.Invalid<>(problems);
  }

  private static NodeSettings.TargetSettings target(Section section) {
    Optional<Section> found = section.section("target");
    if (found.isEmpty()) {
      if (!section.has("target")) {
        section.problem("target", "the key is missing");
      }
      return new NodeSettings.TargetSettings(
          new TargetName(PLACEHOLDER_NAME), PLACEHOLDER_ENDPOINT, 1, 0, 1, 1);
    }
    Section target = found.get();
    NodeSettings.TargetSettings settings =
        new NodeSettings.TargetSettings(
            name(target, "name", TargetName::new),
            endpoint(target, "address"),
            (int) target.number("slots", 6, 1, 10_000),
            (int) target.number("queue", 64, 0, 100_000),
            (int) target.number("connections", 220, 1, 100_000),
            target.number("idle-millis", 2_000, 0, 600_000));
    target.rejectUnknownKeys();
    return settings;
  }

  private static <T> T name(Section section, String key, Function<String, T> create) {
    String text =
        section.parsed(
            key, value -> Optional.of(value).filter(Names::isName), Names.FORMAT, PLACEHOLDER_NAME);
    return create.apply(text.isEmpty() ? PLACEHOLDER_NAME : text);
  }

  private static String host(Section section) {
    return section.parsed(
        "host",
        text -> Endpoint.parse(text + ":1").map(Endpoint::host),
        "an IP address",
        PLACEHOLDER_ENDPOINT.host());
  }

  private static Endpoint endpoint(Section section, String key) {
    return section.parsed(key, Endpoint::parse, ADDRESS_FORMAT, PLACEHOLDER_ENDPOINT);
  }

  private static int port(Section section, String key) {
    if (!section.has(key)) {
      section.problem(key, "the key is missing");
    }
    return (int) section.number(key, 1, 1, 65_535);
  }

  private static List<Endpoint> peers(Section section, List<Problem> problems) {
    List<Endpoint> peers = new ArrayList<>();
    for (String text : section.texts("peers")) {
      Optional<Endpoint> peer = Endpoint.parse(text);
      if (peer.isEmpty()) {
        problems.add(
            new Problem(
                section.lineOf("peers"),
                "peers",
                "expected " + ADDRESS_FORMAT + ", but found: " + text));
      }
      peer.ifPresent(peers::add);
    }
    return peers;
  }

  private static void rejectEqualPorts(Section section, NodeSettings settings) {
    boolean differ =
        settings.callerPort() != settings.nodePort()
            && settings.callerPort() != settings.adminPort()
            && settings.nodePort() != settings.adminPort();
    if (!differ) {
      section.problem("caller-port", "caller-port, node-port and admin-port must differ");
    }
  }
}
