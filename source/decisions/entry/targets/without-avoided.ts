/**
Leaves out the targets that outlier detection avoids, while there are others.
*/

/**
Returns the targets that are not avoided, or all when every one is avoided: a failing
target is better than none.

@example
```
withoutAvoided([{id: 'i-1', isAvoided: true}, {id: 'i-2', isAvoided: false}]);
```
*/
export const withoutAvoided = <Target extends {readonly isAvoided: boolean}>(targets: readonly Target[]): readonly Target[] => {
	const healthy = targets.filter(({isAvoided}) => !isAvoided);
	return healthy.length > 0 ? healthy : targets;
};
