import java.nio.file.Path;

/** Runs one case: starts the deployment, plays the case, writes the record and ends all processes. */
final class Script {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    /** True unless the case is to be played without its disruption. */
    static final boolean IS_TROUBLED = !"0".equals(System.getenv("TROUBLE"));

    interface Play {
        /** Plays the case and returns the exit code. */
        int play(Deployment deployment, Record record) throws Exception;
    }

    private Script() {}

    static void run(String recordFile, Play play) {
        Record record = new Record();
        int result = COULD_NOT_RUN;
        try (Deployment deployment = new Deployment(record)) {
            result = play.play(deployment, record);
        } catch (Exception e) {
            e.printStackTrace();
        }
        try {
            record.write(Path.of(recordFile));
        } catch (java.io.IOException e) {
            e.printStackTrace();
            result = COULD_NOT_RUN;
        }
        System.exit(result);
    }
}
