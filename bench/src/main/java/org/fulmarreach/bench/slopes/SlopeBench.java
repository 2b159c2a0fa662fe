package org.fulmarreach.bench.slopes;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Measures slopes and writes them as a table and as CSV. */
public final class SlopeBench {
    private final PrintStream out;
    private final Path folder;

    /**
     * Constructs a benchmark.
     *
     * @param out receives the table
     * @param folder receives the CSV; created if missing
     */
    public SlopeBench(PrintStream out, Path folder) {
        this.out = out;
        this.folder = folder;
    }

    /**
     * Measures all slopes.
     *
     * @throws IOException if the results cannot be written
     */
    public void run() throws IOException {
        out.println("| figure | unit | by | measured (size: figure) | slope | intercept | R2 |");
        out.println("|---|---|---|---|---|---|---|");
        List<Slope> slopes = new ArrayList<>();
        print(ByteSlopes.measure(), slopes);
        print(CpuSlopes.measure(), slopes);
        print(HeapSlopes.measure(), slopes);
        print(AppendSlopes.measure(), slopes);
        List<String> lines = new ArrayList<>(List.of(Slope.CSV_HEADER));
        slopes.forEach(slope -> lines.addAll(slope.toCsv()));
        Files.createDirectories(folder);
        Files.write(folder.resolve("slopes.csv"), lines);
    }

    private void print(List<Slope> measured, List<Slope> all) {
        measured.forEach(slope -> out.println(slope.toRow()));
        all.addAll(measured);
    }
}
