/**
Plots a report as SVG.
*/
import type {LogReport} from './log-report.js';

const width = 960;
const height = 300;
const margin = {
	left: 60, right: 20, top: 30, bottom: 40,
} as const;
const gap = 60;
/** Colours of outcomes, in stacking order from bottom to top. */
const colours: Readonly<Record<string, string>> = {
	answered: '#4c956c', refused: '#f2a541', failed: '#c8553d', 'target failed': '#8d5b8c', 'caller gone': '#7a7a7a',
};
const otherColour = '#b0b0b0';

const escape = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');

const label = (x: number, y: number, text: string, anchor = 'start'): string => `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" font-size="12" font-family="sans-serif" text-anchor="${anchor}">${escape(text)}</text>`;

type Panel = {readonly top: number; readonly maximum: number; readonly count: number};

const xOf = (index: number, count: number): number => margin.left + (index * (width - margin.left - margin.right) / Math.max(1, count));
const yOf = (value: number, {top, maximum}: Panel): number => top + height - (value * height / Math.max(1, maximum));

const axes = (panel: Panel, title: string, windowMilliseconds: number): readonly string[] => [
	`<line x1="${margin.left}" y1="${panel.top + height}" x2="${width - margin.right}" y2="${panel.top + height}" stroke="black"/>`,
	`<line x1="${margin.left}" y1="${panel.top}" x2="${margin.left}" y2="${panel.top + height}" stroke="black"/>`,
	label(margin.left, panel.top - 10, title),
	label(margin.left - 6, panel.top + 10, String(Math.round(panel.maximum)), 'end'),
	label(margin.left - 6, panel.top + height, '0', 'end'),
	label(width - margin.right, panel.top + height + 20, `${(panel.count * windowMilliseconds / 1000).toFixed(0)} s`, 'end'),
];

const bars = ({windows}: LogReport, panel: Panel, endings: readonly string[]): readonly string[] => windows.flatMap((window, index) => {
	let stackedCount = 0;
	return endings.flatMap(ending => {
		const count = window.endings[ending] ?? 0;
		const [lower, upper] = [stackedCount, stackedCount + count];
		stackedCount = upper;
		return count === 0 ? [] : [`<rect x="${xOf(index, panel.count).toFixed(1)}" y="${yOf(upper, panel).toFixed(1)}" width="${Math.max(1, xOf(1, panel.count) - margin.left - 1).toFixed(1)}" height="${(yOf(lower, panel) - yOf(upper, panel)).toFixed(1)}" fill="${colours[ending] ?? otherColour}"/>`];
	});
});

const line = ({windows}: LogReport, panel: Panel, pick: 'middle' | 'slow', colour: string): string => {
	const points = windows.flatMap((window, index) => window[pick] === undefined ? [] : [`${xOf(index + 0.5, panel.count).toFixed(1)},${yOf(window[pick], panel).toFixed(1)}`]);
	return `<polyline points="${points.join(' ')}" fill="none" stroke="${colour}" stroke-width="1.5"/>`;
};

/**
Returns an SVG document with two panels over time: logged requests by outcome, and the
time to the first event.

@example
```
fs.writeFileSync('day.svg', plotReport(report));
```
*/
export const plotReport = (report: LogReport): string => {
	const {windows, windowMilliseconds} = report;
	const seen = new Set(windows.flatMap(({endings}) => Object.keys(endings)));
	const endings = [...Object.keys(colours).filter(ending => seen.has(ending)), ...[...seen].filter(ending => colours[ending] === undefined)];
	const count = windows.length;
	const requests: Panel = {top: margin.top, maximum: Math.max(1, ...windows.map(({endings: each}) => Object.values(each).reduce((sum, value) => sum + value, 0))), count};
	const firstEvents: Panel = {top: margin.top + height + gap, maximum: Math.max(1, ...windows.flatMap(({slow}) => slow ?? [])), count};
	const total = firstEvents.top + height + margin.bottom;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${total}" viewBox="0 0 ${width} ${total}">`,
		`<rect width="${width}" height="${total}" fill="white"/>`,
		...axes(requests, `Logged requests each ${windowMilliseconds / 1000} s, by ending`, windowMilliseconds),
		...bars(report, requests, endings),
		...endings.map((ending, index) => `<rect x="${margin.left + 300 + (index * 110)}" y="${margin.top - 20}" width="10" height="10" fill="${colours[ending] ?? otherColour}"/>${label(margin.left + 314 + (index * 110), margin.top - 11, ending)}`),
		...axes(firstEvents, 'First events in ms: 50 (green) and 95 (red) in 100', windowMilliseconds),
		line(report, firstEvents, 'middle', '#4c956c'),
		line(report, firstEvents, 'slow', '#c8553d'),
		'</svg>',
		'',
	].join('\n');
};
