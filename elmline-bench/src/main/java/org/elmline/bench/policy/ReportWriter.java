package org.elmline.bench.policy;

import java.awt.Rectangle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.elmline.bench.workload.PromptMix;
import org.elmline.core.common.LengthClass;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.graphics2d.svg.SVGGraphics2D;

/** Writes a measurement's tables and its plots, as SVG, into one folder. */
final class ReportWriter {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 520;

    private final Path folder;

    ReportWriter(Path folder) {
        this.folder = folder;
    }

    void write(List<ResultRow> rows, String tables) throws IOException {
        Path plots = Files.createDirectories(folder.resolve("plots"));
        Path measurements = Files.createDirectories(folder.resolve("measurements"));
        Files.writeString(
                measurements.resolve("placement.md"),
                "# Placement: all figures\n\nWritten by `elmline bench policy`; see ../MEASUREMENTS.md.\n" + tables);
        for (PromptMix mix : PromptMix.values()) {
            for (LengthClass each : List.of(LengthClass.SHORT, LengthClass.LONG, LengthClass.HUGE)) {
                plot(rows, mix, each, plots);
            }
        }
    }

    private static void plot(List<ResultRow> rows, PromptMix mix, LengthClass lengthClass, Path plots)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        for (Variant variant : Variant.all()) {
            XYSeries series = new XYSeries(variant.title());
            for (ResultRow row : rows) {
                boolean own = row.mix() == mix && row.variant().title().equals(variant.title());
                if (own && row.fault() == Fault.NONE) {
                    series.add(row.load() * 100, row.result().firstTokenSeconds(lengthClass, 95));
                }
            }
            if (!series.isEmpty()) {
                data.addSeries(series);
            }
        }
        if (data.getSeriesCount() == 0) {
            return;
        }
        String fleet = mix.name().toLowerCase(Locale.ROOT);
        String prompts = lengthClass.name().toLowerCase(Locale.ROOT);
        JFreeChart chart = ChartFactory.createXYLineChart(
                fleet + ": p95 time to first token, " + prompts + " prompts",
                "offered load, %",
                "seconds",
                data,
                PlotOrientation.VERTICAL,
                true,
                false,
                false);
        chart.getXYPlot().setRangeAxis(new LogAxis("seconds"));
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
        svg.setDefsKeyPrefix(fleet + "-" + prompts);
        chart.draw(svg, new Rectangle(WIDTH, HEIGHT));
        Files.writeString(plots.resolve("first-token-" + fleet + "-" + prompts + ".svg"), svg.getSVGDocument() + "\n");
    }
}
