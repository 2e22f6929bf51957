import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The project's processes on loopback addresses, one address for each machine, started with the commands of the deploy file. */
final class Deployment implements AutoCloseable {
    /** A process of the system. */
    final class Node {
        final String name;
        final String role;
        final String host;
        final String zone;
        final Path settings;
        Process process;
        /** Ready probes missed in a row by the balancer. */
        volatile int misses = 2;

        Node(String name, String role, String host, String zone) {
            this.name = name;
            this.role = role;
            this.host = host;
            this.zone = zone;
            this.settings = folder.resolve(name + ".json");
        }

        String callers() {
            return host + ":" + (port + 1);
        }

        String operators() {
            return host + ":" + (port + 3);
        }

        void signal(String signal) throws Exception {
            record.add("fault  " + signal + " " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    static final String HOST = "nony24.example";
    static final String SERVICE = "huvo11a";
    private static final int RELAYED_ENTRY = 20;
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

    final Record record;
    final Path folder;
    final int port;
    final String network;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<Executor> executors = new ArrayList<>();
    final List<Executor.Run> runs = new ArrayList<>();
    private final Map<String, String> commands = new HashMap<>();
    private final List<Node> controls = new ArrayList<>();
    private final List<Relay> relays = new ArrayList<>();

    /** Name of the entry whose links to all other machines pass through relays, or empty. */
    String relayedEntry = "";

    Deployment(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("bluebellramp-review-");
        Random random = new Random();
        network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        port = freePorts(random);
        readCommands();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private int freePorts(Random random) {
        while (true) {
            int first = 20_000 + random.nextInt(10_000);
            boolean isFree = true;
            for (int offset = 0; offset < 20 && isFree; offset++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), first + offset));
                } catch (IOException e) {
                    isFree = false;
                }
            }
            if (isFree) return first;
        }
    }

    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) role = line.substring("[roles.".length(), line.indexOf(']'));
            if (line.startsWith("run = ")) commands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
        }
    }

    /** Starts a control in each of three zones, [entriesPerZone] entries and [agentsPerZone] agents with executors in each. */
    void start(int entriesPerZone, int agentsPerZone, int milliCpu) throws Exception {
        for (int zone = 0; zone < 3; zone++) controls.add(new Node("control-" + zone, "control", network + (zone + 1), ZONES[zone]));
        for (Node control : controls) launch(control);
        if (!relayedEntry.isEmpty()) openRelays(network + RELAYED_ENTRY);
        for (int zone = 0; zone < 3; zone++) {
            for (int i = 0; i < entriesPerZone; i++) launch(new Node("entry-" + zone + "-" + i, "entry", network + (20 + zone * 10 + i), ZONES[zone]));
            for (int i = 0; i < agentsPerZone; i++) {
                Node agent = new Node("agent-" + zone + "-" + i, "agent", network + (100 + zone * 20 + i), ZONES[zone]);
                launch(agent);
                Executor executor =
                    new Executor("i-" + zone + i, agent.zone, agent.host, port + 4, agent.operators(), SERVICE, milliCpu, record, runs);
                executors.add(executor);
                executor.start();
            }
        }
        Http.daemon(this::probe);
    }

    /**
     * Opens relays for the entry at [host]: one that agents take for the entry, and one for each control that the entry takes for the control.
     * The addresses in the frames are changed to those of the relays.
     */
    private void openRelays(String host) throws IOException {
        String seenHost = network + (RELAYED_ENTRY + 70);
        relays.add(new Relay(seenHost, port + 10, host, text -> text, text -> text));
        for (int i = 1; i <= 3; i++) {
            relays.add(
                new Relay(network + (i + 6), port + 11, network + i, text -> text.replace('"' + host + ':', '"' + seenHost + ':'), text -> {
                    String changed = text;
                    for (int j = 1; j <= 3; j++) changed = changed.replace('"' + network + j + ':', '"' + network + (j + 6) + ':');
                    return changed;
                }));
        }
    }

    /** Cuts the relayed entry off from all other machines of the system. */
    void cutEntry() {
        record.add("fault  node_cut " + relayedEntry);
        relays.forEach(Relay::cut);
    }

    void healEntry() throws IOException {
        record.add("fault  end of node_cut " + relayedEntry);
        for (Relay relay : relays) relay.heal();
    }

    private void launch(Node node) throws IOException {
        nodes.put(node.name, node);
        Files.writeString(node.settings, settings(node, true));
        startProcess(node);
    }

    /** Starts the process of [node] again, with the settings of a system that runs already. */
    void restart(Node node) throws IOException {
        Files.writeString(node.settings, settings(node, false));
        startProcess(node);
    }

    private void startProcess(Node node) throws IOException {
        List<String> words = new ArrayList<>();
        for (String word : commands.get(node.role).split(" ")) words.add(word.equals("/etc/bluebellramp/local.toml") ? node.settings.toString() : word);
        File log = folder.resolve(node.name + ".log").toFile();
        node.process = new ProcessBuilder(words).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    }

    private String settings(Node node, boolean isFounding) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 1; i <= 3; i++) {
            int host = node.name.equals(relayedEntry) ? i + 6 : i;
            seeds.append(seeds.isEmpty() ? "" : ",").append(Json.quote(network + host + ":" + (port + 3)));
        }
        boolean isEntry = node.role.equals("entry");
        return "{\"node\":" + Json.quote(node.name) + ",\"zone\":" + Json.quote(node.zone) + ",\"zones\":[\"zone-a\",\"zone-b\",\"zone-c\"],\"host\":"
            + Json.quote(node.host) + ",\"seeds\":[" + seeds + "],\"firstPort\":" + (port + 10) + ",\"lastPort\":" + (port + 19) + ",\"callers\":\""
            + (isEntry ? node.callers() : "") + "\",\"readiness\":\"" + (isEntry ? node.host + ":" + (port + 2) : "") + "\",\"operators\":\""
            + (isEntry ? "" : node.operators()) + "\",\"target\":\"" + (node.role.equals("agent") ? node.host + ":" + (port + 4) : "")
            + "\",\"metrics\":\"" + node.host + ":" + (port + 5) + "\",\"dataFolder\":\"" + (node.role.equals("control") ? folder.resolve("data-" + node.name) : "")
            + "\",\"founding\":" + isFounding + ",\"toleratedLosses\":1,\"stopSeconds\":6,\"longestLeaseMillis\":1000,\"processorShare\":0.75}";
    }

    /** Sends the configuration until it is acknowledged, and waits until every entry is ready. */
    void configure(String routes) throws Exception {
        String body =
            "{\"version\":7,\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE + "\",\"healthPath\":\"/health\",\"maxConnections\":64,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"rejectsOverload\":false,\"standby\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        long until = record.now() + 30_000;
        int control = 0;
        int status = 0;
        while (status != 200 && record.now() < until) {
            Node node = controls.get(control++ % controls.size());
            status = Http.send(node.operators(), "POST", "/bluebellramp/config/replace", "control", body, 1000).get().status();
            if (status != 200) Thread.sleep(200);
        }
        while (record.now() < until && nodes.values().stream().anyMatch(node -> node.role.equals("entry") && node.misses > 0)) Thread.sleep(100);
        if (record.now() >= until) throw new IllegalStateException("the system did not become ready");
        // Every agent has reached every entry by then, and the first heartbeats have been exchanged.
        Thread.sleep(3000);
        record.add("ready");
    }

    static String route(String name, String prefix, int priority) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
            + "\",\"type\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":" + priority + ",\"service\":\"" + SERVICE
            + "\",\"maxAttempts\":3,\"stretch\":1.6}";
    }

    /** Probes every entry once a second, as the platform does. */
    private void probe() throws InterruptedException {
        while (true) {
            for (Node node : List.copyOf(nodes.values())) {
                if (!node.role.equals("entry")) continue;
                Http.send(node.host + ":" + (port + 2), "GET", "/bluebellramp/ready", node.host, "", 900)
                    .thenAccept(response -> node.misses = response.status() == 200 ? 0 : node.misses + 1);
            }
            Thread.sleep(1000);
        }
    }

    /** Returns the entry to which the platform forwards a new connection of [client] in [zone]. */
    Node balance(String zone, String client) {
        List<Node> all = nodes.values().stream().filter(node -> node.role.equals("entry") && node.zone.equals(zone)).toList();
        List<Node> inRotation = all.stream().filter(node -> node.misses < 2).toList();
        List<Node> used = inRotation.size() * 2 < all.size() ? all : inRotation;
        return used.get(Math.floorMod(client.hashCode(), used.size()));
    }

    /** Returns another entry in the zone of [entry]. */
    Node neighbour(Node entry) {
        return nodes.values().stream().filter(node -> node != entry && node.role.equals("entry") && node.zone.equals(entry.zone)).findFirst().orElseThrow();
    }

    private void killAll() {
        for (Node node : nodes.values()) if (node.process != null) node.process.destroyForcibly();
        for (Node node : nodes.values()) {
            try {
                if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs kept in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
    }
}
