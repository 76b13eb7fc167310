/**
How one gateway of a replay keeps the teams' shares.
*/
import type {WaitingPrompt} from '../../source/decisions/entry/prompts/waiting-prompt.js';
import type {PromptRank} from '../../source/decisions/fairness/prompt-rank.js';

/**
Gateways of one replay may exchange figures in `tick`, which each calls before it looks at its queue.
*/
export type SharedUse = {
	readonly tick: (now: number) => void;
	readonly ranks: (waiting: readonly WaitingPrompt[], now: number) => ReadonlyMap<WaitingPrompt, PromptRank> | undefined;
	readonly recordPlaced: (placed: {readonly prompt: WaitingPrompt; readonly rank: PromptRank | undefined}, prefillMilliseconds: number, decodeMilliseconds: number, now: number) => void;
	readonly recordRefused: (prompt: WaitingPrompt, now: number) => void;
	readonly returnDelay: (hopeless: {readonly waitMilliseconds: number; readonly workMilliseconds: number}, now: number) => number;
};
