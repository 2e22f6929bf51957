/** An entry freezes before it has read a job; the job is cancelled at its neighbour; the entry wakes up and reads the job. */
final class CancelledBeforeHandled {
    private static final int FREEZE_MS = 3500;
    private static final String PREFIX = "/lohu930/";

    public static void main(String[] args) {
        Script.run(args[0], (deployment, record) -> {
            deployment.start(2, 2, 8000);
            deployment.configure(Deployment.route("r-1", PREFIX, 2));
            return play(deployment, record);
        });
    }

    private static int play(Deployment deployment, Record record) throws Exception {
        String id = Jobs.newId();
        Deployment.Node entry = deployment.nodes.get("entry-0-0");
        Deployment.Node neighbour = deployment.neighbour(entry);
        if (Script.IS_TROUBLED) entry.signal("STOP");
        long thawAt = record.now() + FREEZE_MS;
        Thread.sleep(100);
        // Two steps of four tasks, each about five seconds.
        String body = Jobs.body("4800-5200", Jobs.step(4, 1000, 5000, -1), Jobs.step(4, 1000, 5000, 0));
        Jobs.send(record, entry, "POST", PREFIX, id, body, 60_000);
        // The platform takes the entry out of rotation after two probes; new connections go to its neighbour from then on.
        while (Script.IS_TROUBLED && entry.misses < 2 && record.now() < thawAt - 200) Thread.sleep(10);
        if (!Script.IS_TROUBLED) Thread.sleep(2500);
        if (Script.IS_TROUBLED && entry.misses < 2) return Script.COULD_NOT_RUN;
        Http.Response cancelled = Jobs.send(record, neighbour, "DELETE", PREFIX, id, "", 1500).get();
        long acknowledgedAt = record.now();
        if (cancelled.status() != 200 && cancelled.status() != 410) return Script.COULD_NOT_RUN;
        Thread.sleep(Math.max(0, thawAt - record.now()));
        if (Script.IS_TROUBLED) entry.signal("CONT");
        Thread.sleep(15_000);
        return Checks.cancelled(deployment.runs, record, id, acknowledgedAt, !Script.IS_TROUBLED);
    }
}
