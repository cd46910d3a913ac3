import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { BenchRow } from "./bench-measure.ts";

/** Writes one SVG per measure that compares the baseline with our figure, with a pair of bars per deployment. */
export async function writePlots(rows: readonly BenchRow[], directory: string): Promise<void> {
    mkdirSync(directory, { recursive: true });
    for (const measure of new Set(rows.map(row => row.measure))) {
        const spec = createSpec(measure, rows.filter(row => row.measure === measure));
        const view = new View(parse(compile(spec).spec), { renderer: "none" });
        writeFileSync(join(directory, `${toFileName(measure)}.svg`), await view.toSVG());
        view.finalize();
    }
}

function createSpec(measure: string, rows: readonly BenchRow[]): TopLevelSpec {
    const values = rows.flatMap(({ deployment, baseline, ours }) => [
        { deployment, way: "baseline", figure: baseline },
        { deployment, way: "ours", figure: ours },
    ]);
    return {
        title: `${measure}, target ${rows[0]?.target ?? ""}`,
        data: { values },
        mark: "bar",
        encoding: {
            x: { field: "deployment", type: "nominal" },
            xOffset: { field: "way", type: "nominal" },
            y: { field: "figure", type: "quantitative" },
            color: { field: "way", type: "nominal" },
        },
    };
}

function toFileName(measure: string): string {
    return measure.toLowerCase().replaceAll(/[^a-z0-9]+/g, "-").replaceAll(/^-|-$/g, "");
}
