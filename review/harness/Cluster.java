import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: 3 front machines with control and entry, and side machines with an agent each. Each machine has a loopback
 * address of its own, and each process is started with the command of deploy/system.toml.
 */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "huvo11a";
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    private static final String[] ZONES = {"bergen-a", "bergen-b", "voss-c"};
    private static final int FRONTS = 3;

    final Recorder recorder;
    final Path folder;
    final List<Executor> executors = new ArrayList<>();
    private final Path repository;
    private final String network;
    private final int port;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Cluster(Recorder recorder, int sides) throws IOException {
        this.recorder = recorder;
        repository = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("bluebellramp-review-");
        long pid = ProcessHandle.current().pid();
        network = "127." + (20 + pid / 200 % 200) + "." + (1 + pid % 200) + ".";
        port = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int side = 0; side < sides; side++) {
            String host = sideHost(side);
            executors.add(new Executor("i-" + side, host, port + 4, host + ":" + (port + 2), ZONES[side % 3], SERVICE, recorder));
        }
    }

    /** Returns the first of 40 ports that are free on the first addresses of this test. */
    private int freePorts() throws IOException {
        for (int first = 21000; first < 32000; first += 40) {
            try {
                for (int each = first; each < first + 40; each++) {
                    try (ServerSocket socket = new ServerSocket()) {
                        socket.bind(new InetSocketAddress(InetAddress.getByName(network + "10"), each));
                    }
                }
                return first;
            } catch (IOException e) {
                recorder.line("ports from %d on are in use", first);
            }
        }
        throw new IOException("no free ports");
    }

    String frontHost(int front) {
        return network + (10 + front);
    }

    String sideHost(int side) {
        return network + (50 + side);
    }

    /** Address at which clients reach the entry on a front machine. */
    InetSocketAddress callers(int front) {
        return new InetSocketAddress(frontHost(front), port);
    }

    /** Starts all processes and executors, puts the first configuration in force and waits until every entry reaches every agent. */
    void start() throws Exception {
        for (int front = 0; front < FRONTS; front++) {
            startProcess("control", front, true);
            startProcess("entry", front, true);
        }
        for (int side = 0; side < executors.size(); side++) startProcess("agent", side, true);
        for (Executor executor : executors) executor.start();
        configure(7);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        for (int front = 0; front < FRONTS; front++) {
            while (agentsOf(front) < executors.size() || get(frontHost(front) + ":" + (port + 1), "/bluebellramp/ready") != 200) {
                if (System.nanoTime() > until) throw new IOException("the cluster was not ready within 40 s");
                Thread.sleep(100);
            }
        }
        Thread.sleep(2000);
        recorder.say("the deployment is ready: %d fronts, %d sides", FRONTS, executors.size());
    }

    static String processName(String role, int machine) {
        return role + "-" + machine;
    }

    Process process(String role, int machine) {
        return processes.get(processName(role, machine));
    }

    void startProcess(String role, int machine, boolean bootstrap) throws IOException {
        String name = processName(role, machine);
        boolean isAgent = role.equals("agent");
        String host = isAgent ? sideHost(machine) : frontHost(machine);
        Path data = folder.resolve("data-" + name);
        if (role.equals("control")) Files.createDirectories(data);
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(role, machine, host, data, bootstrap));
        List<String> command = new ArrayList<>();
        for (String word : command(role).split(" ")) command.add(word.equals("/etc/bluebellramp/local.toml") ? settings.toString() : word);
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile()).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        Process process = builder.start();
        processes.put(name, process);
        recorder.line("process %s started, pid %d", name, process.pid());
    }

    /** Sends a signal, such as STOP, to a process that this test started. */
    void signal(String role, int machine, String signal) throws Exception {
        Process process = process(role, machine);
        recorder.line("signal %s to %s", signal, processName(role, machine));
        new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).inheritIO().start().waitFor();
    }

    /** Same keys and values as deploy/node.json.template gives on a small deployment. */
    private String settings(String role, int machine, String host, Path data, boolean bootstrap) {
        StringBuilder seeds = new StringBuilder();
        for (int front = 0; front < FRONTS; front++) {
            seeds.append(front == 0 ? "" : ",").append(Json.quote(frontHost(front) + ":" + (port + 2)));
        }
        boolean isAgent = role.equals("agent");
        boolean isEntry = role.equals("entry");
        int metrics = port + (isAgent ? 7 : isEntry ? 5 : 6);
        return "{\"node\":" + Json.quote((isAgent ? "side-" : "front-") + ZONES[machine % 3] + "-" + machine)
            + ",\"zone\":" + Json.quote(ZONES[machine % 3])
            + ",\"zones\":[\"bergen-a\",\"bergen-b\",\"voss-c\"]"
            + ",\"host\":" + Json.quote(host)
            + ",\"seeds\":[" + seeds + "]"
            + ",\"firstPort\":" + (port + 20) + ",\"lastPort\":" + (port + 35)
            + ",\"callers\":" + Json.quote(isEntry ? host + ":" + port : "")
            + ",\"readiness\":" + Json.quote(isEntry ? host + ":" + (port + 1) : "")
            + ",\"operators\":" + Json.quote(isEntry ? "" : host + ":" + (port + 2))
            + ",\"target\":" + Json.quote(isAgent ? host + ":" + (port + 4) : "")
            + ",\"metrics\":" + Json.quote(host + ":" + metrics)
            + ",\"dataFolder\":" + Json.quote(role.equals("control") ? data.toString() : "")
            + ",\"founding\":" + bootstrap
            + ",\"toleratedLosses\":1,\"stopSeconds\":6,\"longestLeaseMillis\":1000}";
    }

    private String command(String role) throws IOException {
        String file = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(file);
        if (!matcher.find()) throw new IOException("deploy/system.toml has no role " + role);
        return matcher.group(1);
    }

    private int agentsOf(int front) {
        try {
            String text = body(frontHost(front) + ":" + (port + 5), "/metrics");
            Matcher matcher = Pattern.compile("(?m)^bluebellramp_entry_agents ([0-9.]+)").matcher(text);
            return matcher.find() ? (int) Double.parseDouble(matcher.group(1)) : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends the configuration with this version to the controls until one acknowledges it. */
    void configure(int version) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        for (int attempt = 0; System.nanoTime() < until; attempt++) {
            if (sendConfiguration(version, attempt % FRONTS) == 200) return;
            Thread.sleep(200);
        }
        throw new IOException("no control acknowledged version " + version);
    }

    /** Sends the configuration with this version to one control; returns the status or 0. */
    int sendConfiguration(int version, int front) {
        String body = "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + PREFIX
            + "\",\"type\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\"service\":\"" + SERVICE
            + "\",\"maxAttempts\":3,\"stretch\":1.6}],\"services\":[{\"name\":\"" + SERVICE
            + "\",\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,"
            + "\"rejectsOverload\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        String address = frontHost(front) + ":" + (port + 2);
        int status = operator("POST", address, "/bluebellramp/config/replace", body);
        recorder.line("operator: version %d to %s -> %d", version, address, status);
        return status;
    }

    /** Reads the configuration at one control; returns the status or 0. */
    int readConfiguration(int front) {
        return get(frontHost(front) + ":" + (port + 2), "/bluebellramp/config/describe");
    }

    /** A call of the operator that follows redirects twice; returns the status or 0. */
    int operator(String method, String address, String path, String body) {
        String url = "http://" + address + path;
        for (int hop = 0; hop < 3; hop++) {
            try {
                HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
                connection.setInstanceFollowRedirects(false);
                connection.setRequestMethod(method);
                connection.setConnectTimeout(1000);
                connection.setReadTimeout(1000);
                if (!body.isEmpty()) {
                    connection.setDoOutput(true);
                    connection.setRequestProperty("Content-Type", "application/json");
                    connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
                }
                int status = connection.getResponseCode();
                if (status != 307) return status;
                url = connection.getHeaderField("Location");
            } catch (IOException e) {
                return 0;
            }
        }
        return 307;
    }

    private int get(String address, String path) {
        return operator("GET", address, path, "");
    }

    private static String body(String address, String path) throws IOException {
        HttpURLConnection connection = (HttpURLConnection) new URL("http://" + address + path).openConnection();
        connection.setConnectTimeout(1000);
        connection.setReadTimeout(1000);
        try (InputStream in = connection.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** All runs of all executors, in the order of their starts. */
    List<Executor.Run> runs() {
        List<Executor.Run> all = new ArrayList<>();
        for (Executor executor : executors) {
            synchronized (executor.runs) {
                all.addAll(executor.runs);
            }
        }
        all.sort(Comparator.comparingLong(run -> run.startNanos));
        return all;
    }

    /** Copies the lines of a process's log that contain one of the words to the record. */
    void recordLog(String role, int machine, String... words) throws IOException {
        for (String line : Files.readAllLines(folder.resolve(processName(role, machine) + ".log"))) {
            if (Arrays.stream(words).anyMatch(line::contains)) recorder.line("%s logged: %s", processName(role, machine), line);
        }
    }

    /** Ends all processes that this test started, and removes its folder. */
    @Override
    public synchronized void close() {
        for (Executor executor : executors) executor.crash();
        for (Process process : processes.values()) process.destroyForcibly();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        if (System.getenv("KEEP") != null || !Files.exists(folder)) return;
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            recorder.line("cannot remove %s: %s", folder, e);
        }
    }
}
