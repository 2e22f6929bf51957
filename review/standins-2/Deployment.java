import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: three front machines with control and an entry, and some side machines with an agent and an executor each.
 * Every machine has a loopback address of its own. The processes run with the commands of the deploy file.
 */
final class Deployment implements AutoCloseable {
    static final int CALLER_PORT = 8161;
    static final int READY_PORT = 8167;
    static final int OPERATOR_PORT = 8166;
    static final int EXECUTOR_PORT = 8080;
    private static final int FIRST_PORT = 7720;
    private static final String[] ZONES = {"bergen-a", "bergen-b", "voss-c"};

    final List<String> fronts = new ArrayList<>();
    final List<Executor> executors = new ArrayList<>();
    final Record record;
    private final Path folder;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Deployment(Record record, int sides, int milliCpu, Executor.Trouble trouble) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("bluebellramp-review");
        String network = freeNetwork(sides);
        for (int i = 0; i < 3; i++) fronts.add(network + "." + (10 + i));
        for (int i = 0; i < sides; i++) {
            String host = network + "." + (50 + i);
            executors.add(new Executor(host, EXECUTOR_PORT, OPERATOR_PORT, ZONES[i % 3], milliCpu, record, trouble));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Starts everything, puts {@code config} in force and waits until each entry reaches each agent. */
    void start(String config) throws IOException, InterruptedException {
        for (int i = 0; i < 3; i++) startProcess("control", fronts.get(i), ZONES[i], true);
        for (int i = 0; i < 3; i++) startProcess("entry", fronts.get(i), ZONES[i], false);
        for (Executor executor : executors) {
            startProcess("agent", executor.host, executor.zone, false);
            executor.start();
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        while (!configure(config)) pause(until);
        for (String front : fronts) while (agentsOf(front) < executors.size() || !isReady(front)) pause(until);
        record.add("the deployment is ready");
    }

    private static void pause(long until) throws IOException, InterruptedException {
        if (System.nanoTime() > until) throw new IOException("the deployment was not ready in time");
        Thread.sleep(100);
    }

    /** Sends {@code config} to each control in turn until one acknowledges it. */
    boolean configure(String config) {
        for (String front : fronts) {
            try {
                if (Http.call(front, OPERATOR_PORT, "POST", "/bluebellramp/config/replace", front, "", config, 1000).status() == 200) return true;
            } catch (IOException e) {
                // The next one.
            }
        }
        return false;
    }

    boolean isReady(String front) {
        try {
            return Http.call(front, READY_PORT, "GET", "/bluebellramp/ready", front, "", "", 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private int agentsOf(String front) {
        try {
            String metrics = Http.call(front, 9464, "GET", "/metrics", front, "", "", 1000).body();
            Matcher matcher = Pattern.compile("(?m)^bluebellramp_entry_agents ([0-9]+)").matcher(metrics);
            return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    void startProcess(String role, String host, String zone, boolean isFounding) throws IOException {
        String name = role + "-" + host;
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(role, host, zone, isFounding));
        List<String> command = new ArrayList<>();
        for (String word : commandOf(role)) command.add(word.equals("/etc/bluebellramp/local.toml") ? settings.toString() : word);
        Process process = new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
            .start();
        processes.put(name, process);
    }

    /** Starts a process again with the settings that it had, but for the first start of the whole system. */
    void restart(String role, String host) throws IOException {
        startProcess(role, host, ZONES[fronts.indexOf(host) % 3], false);
    }

    /** Sends a signal to the process of {@code role} at {@code host}. */
    void signal(String role, String host, String signal) throws IOException, InterruptedException {
        long pid = processes.get(role + "-" + host).pid();
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
        record.add("SIGNAL " + signal + " to the " + role + " of " + host);
    }

    /** The disk of the control process at {@code host}. */
    Path dataFolder(String host) {
        return folder.resolve("data-" + host);
    }

    /** Empties the disk of the control process at {@code host}, which does not run. */
    void loseDisk(String host) throws IOException {
        try (Stream<Path> files = Files.walk(dataFolder(host))) {
            files.map(Path::toFile).sorted((a, b) -> b.getPath().compareTo(a.getPath())).filter(it -> !it.toPath().equals(dataFolder(host)))
                .forEach(File::delete);
        }
        record.add("EMPTY  the disk of " + host);
    }

    Process process(String role, String host) {
        return processes.get(role + "-" + host);
    }

    private static List<String> commandOf(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isInRole = line.trim().equals("[roles." + role + "]");
            if (isInRole && line.startsWith("run = ")) return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("no command for " + role + " in deploy/system.toml");
    }

    /** The fields of deploy/node.json.template. */
    private String settings(String role, String host, String zone, boolean isFounding) throws IOException {
        boolean isEntry = role.equals("entry");
        String seeds = String.join(",", fronts.stream().map(it -> "\"" + it + ":" + OPERATOR_PORT + "\"").toList());
        String data = "";
        if (role.equals("control")) data = Files.createDirectories(folder.resolve("data-" + host)).toString();
        int metrics = role.equals("control") ? 9465 : isEntry ? 9464 : 9466;
        return "{\"node\":\"" + role + "-" + host + "\",\"zone\":\"" + zone + "\",\"zones\":[\"bergen-a\",\"bergen-b\",\"voss-c\"],\"host\":\""
            + host + "\",\"seeds\":[" + seeds + "],\"firstPort\":" + FIRST_PORT + ",\"lastPort\":" + (FIRST_PORT + 15) + ",\"callers\":\""
            + (isEntry ? host + ":" + CALLER_PORT : "") + "\",\"readiness\":\"" + (isEntry ? host + ":" + READY_PORT : "")
            + "\",\"operators\":\"" + (isEntry ? "" : host + ":" + OPERATOR_PORT) + "\",\"target\":\""
            + (role.equals("agent") ? host + ":" + EXECUTOR_PORT : "") + "\",\"metrics\":\"" + host + ":" + metrics + "\",\"dataFolder\":\""
            + data + "\",\"founding\":" + isFounding + ",\"toleratedLosses\":1,\"stopSeconds\":6,\"longestLeaseMillis\":1000}";
    }

    /** Returns the first three numbers of loopback addresses of which the ports are free. */
    private static String freeNetwork(int sides) throws IOException {
        long seed = ProcessHandle.current().pid();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (60 + (seed + attempt) % 150) + "." + (1 + (seed / 150 + attempt) % 250);
            if (isFree(network + ".10", CALLER_PORT) && isFree(network + ".50", EXECUTOR_PORT)) return network;
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        endProcesses();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        executors.forEach(Executor::close);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.map(Path::toFile).sorted((a, b) -> b.getPath().compareTo(a.getPath())).forEach(File::delete);
        } catch (IOException e) {
            System.out.println("cannot remove " + folder);
        }
    }
}
