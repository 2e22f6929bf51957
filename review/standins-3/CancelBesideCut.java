/**
 * One entry is cut off from all other machines of the system while a job is cancelled.
 *
 * "owner": the entry that runs the job is cut off, and the job is cancelled at its neighbour. "other": the neighbour runs the job, and the
 * job is cancelled at the entry that is cut off.
 */
final class CancelBesideCut {
    private static final int CUT_MS = 5500;
    private static final int CONTACT_MS = 3000;
    private static final String PREFIX = "/lohu930/";

    public static void main(String[] args) {
        Script.run(args[0], (deployment, record) -> {
            deployment.relayedEntry = "entry-0-0";
            deployment.start(2, 2, 8000);
            deployment.configure(Deployment.route("r-1", PREFIX, 2));
            return play(deployment, record, args[1].equals("owner"), Script.IS_TROUBLED);
        });
    }

    private static int play(Deployment deployment, Record record, boolean cutsOwner, boolean isTroubled) throws Exception {
        String id = Jobs.newId();
        Deployment.Node cut = deployment.nodes.get(deployment.relayedEntry);
        Deployment.Node neighbour = deployment.neighbour(cut);
        // Two steps of four tasks, each about five seconds.
        String body = Jobs.body("4800-5200", Jobs.step(4, 1000, 5000, -1), Jobs.step(4, 1000, 5000, 0));
        Jobs.send(record, cutsOwner ? cut : neighbour, "POST", PREFIX, id, body, 60_000);
        Thread.sleep(1000);
        if (isTroubled) deployment.cutEntry();
        long healAt = record.now() + CUT_MS;
        if (cutsOwner) {
            // The platform takes the entry out of rotation after two probes; new connections go to its neighbour from then on.
            while (isTroubled && cut.misses < 2 && record.now() < healAt) Thread.sleep(10);
            if (!isTroubled) Thread.sleep(2500);
        } else {
            // The entry is still in rotation: its agents are lost, and the platform has not seen two misses yet.
            Thread.sleep(900);
            if (cut.misses >= 2) return Script.COULD_NOT_RUN;
        }
        Http.Response cancelled = Jobs.send(record, cutsOwner ? neighbour : cut, "DELETE", PREFIX, id, "", 1500).get();
        long acknowledgedAt = record.now();
        if (cancelled.status() != 200 && cancelled.status() != 410) return Script.COULD_NOT_RUN;
        Thread.sleep(Math.max(0, healAt - record.now()));
        if (isTroubled) deployment.healEntry();
        Thread.sleep(CONTACT_MS + 11_000);
        return Checks.cancelled(deployment.runs, record, id, acknowledgedAt, true);
    }
}
