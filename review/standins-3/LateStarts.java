/** Executors carry out half of their orders late while machines beside them freeze for a moment and wake again. */
final class LateStarts {
    private static final double LATE_SHARE = 0.5;
    private static final int FREEZES = 25;
    private static final int FREEZE_MS = 1500;
    private static final int PAUSE_MS = 1600;
    private static final String PREFIX = "/lohu930/";

    public static void main(String[] args) {
        Script.run(args[0], (deployment, record) -> {
            deployment.start(1, 2, 96_000);
            deployment.configure(Deployment.route("r-1", PREFIX, 2));
            return play(deployment, record);
        });
    }

    private static int play(Deployment deployment, Record record) throws Exception {
        if (Script.IS_TROUBLED) {
            record.add("fault  applied_late " + LATE_SHARE);
            for (Executor executor : deployment.executors) executor.carryOutLate(LATE_SHARE);
        }
        long end = record.now() + 4000 + FREEZES * (FREEZE_MS + PAUSE_MS);
        Http.daemon(() -> {
            // Twelve tasks of six to eight seconds, some four times a second: two thirds of the room.
            String body = Jobs.body("6000-8000", Jobs.step(12, 1000, 7000, -1));
            for (int i = 0; record.now() < end; i++) {
                Jobs.send(record, deployment.nodes.get("entry-" + i % 3 + "-0"), "POST", PREFIX, Jobs.newId(), body, 30_000);
                Thread.sleep(220);
            }
        });
        Thread.sleep(4000);
        for (int i = 0; i < FREEZES; i++) {
            Deployment.Node agent = deployment.nodes.get("agent-" + i % 3 + "-" + i / 3 % 2);
            if (Script.IS_TROUBLED) agent.signal("STOP");
            Thread.sleep(FREEZE_MS);
            if (Script.IS_TROUBLED) agent.signal("CONT");
            Thread.sleep(PAUSE_MS);
        }
        Thread.sleep(9000);
        return Checks.twice(deployment.runs, record);
    }
}
